package directory

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// leavingInstance returns an instance that reported that it leaves.
func leavingInstance(id InstanceID, rev Revision) Instance {
	in := testInstance(id, rev)
	in.Leaving = true
	return in
}

// A source comes back from a backup that is older than the report of an instance
// that it leaves. Guards against requests to it before it has reported again.
func TestLeavingInstanceStaysLeavingAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := Snapshot{Revision: testRevision(1, 23), Instances: []Instance{leavingInstance("a", testRevision(1, 23)), testInstance("b", testRevision(1, 4))}}
		backup := Snapshot{Revision: testRevision(2, 20), Instances: []Instance{testInstance("a", testRevision(2, 3)), testInstance("b", testRevision(2, 4))}}
		restored := func() *Directory {
			d := New(DefaultConfig(discardLog))
			d.Replace(before)
			d.Replace(backup)
			return d
		}
		leaving := func(d *Directory) bool {
			in, ok := d.View().Find("a")
			return ok && in.Leaving
		}
		Convey("It stays leaving while the backup lists it as ready", t, func() {
			d := restored()
			So(leaving(d), ShouldBeTrue)
			d.Replace(backup)
			So(leaving(d), ShouldBeTrue)
			other, _ := d.View().Find("b")
			So(other.Leaving, ShouldBeFalse)
			Convey("And after another restore", func() {
				d.Replace(Snapshot{Revision: testRevision(3, 21), Instances: []Instance{testInstance("a", testRevision(3, 3))}})
				So(leaving(d), ShouldBeTrue)
			})
			Convey("Other nodes get the entry as the source lists it", func() {
				x := d.Since(Position{})
				for _, in := range x.Instances {
					So(in.Leaving, ShouldBeFalse)
				}
				follower := New(DefaultConfig(discardLog))
				follower.Replace(before)
				So(follower.ApplyDelta(x), ShouldBeTrue)
				So(leaving(follower), ShouldBeTrue)
			})
			Convey("Until it writes its entry again", func() {
				again := testInstance("a", testRevision(2, 24))
				d.Apply([]Change{{Instance: &again}}, testRevision(2, 24))
				So(leaving(d), ShouldBeFalse)
			})
			Convey("Until a later start under its ID", func() {
				later := testInstance("a", testRevision(3, 5))
				later.Started = 2000
				d.Replace(Snapshot{Revision: testRevision(3, 21), Instances: []Instance{later}})
				So(leaving(d), ShouldBeFalse)
			})
			Convey("Until all live instances have written again", func() {
				time.Sleep(relistedGrace)
				d.ExpireUnlisted()
				So(leaving(d), ShouldBeFalse)
			})
			Convey("It is dropped when its entry is removed", func() {
				d.Apply([]Change{{Removed: "a", RemovedAt: testRevision(2, 24)}}, testRevision(2, 24))
				So(d.View().All(), ShouldHaveLength, 1)
			})
		})
	})
}

// A source comes back from a backup that still lists an instance whose entry was
// removed. Guards against requests to it before it has reported again.
func TestRemovedInstanceIsNotUsedAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		restored := func(in Instance) (*Directory, Instance) {
			d := New(DefaultConfig(discardLog))
			d.Replace(Snapshot{Revision: testRevision(1, 23), Instances: []Instance{in, testInstance("b", testRevision(1, 4))}})
			d.Apply([]Change{{Removed: "a", RemovedAt: testRevision(1, 25)}}, testRevision(1, 25))
			time.Sleep(unlistedGrace)
			d.ExpireUnlisted()
			So(d.View().All(), ShouldHaveLength, 1)
			d.Replace(Snapshot{Revision: testRevision(2, 20), Instances: []Instance{testInstance("a", testRevision(2, 3)), testInstance("b", testRevision(2, 4))}})
			got, _ := d.View().Find("a")
			return d, got
		}
		Convey("One that left is leaving", t, func() {
			_, got := restored(leavingInstance("a", testRevision(1, 23)))
			So(got.Leaving, ShouldBeTrue)
		})
		Convey("One that did not report it is the last resort", t, func() {
			d, got := restored(testInstance("a", testRevision(1, 23)))
			So(got.Leaving, ShouldBeFalse)
			So(got.Unconfirmed, ShouldBeTrue)
			Convey("Until it writes its entry again", func() {
				again := testInstance("a", testRevision(2, 24))
				d.Apply([]Change{{Instance: &again}}, testRevision(2, 24))
				got, _ := d.View().Find("a")
				So(got.Unconfirmed, ShouldBeFalse)
			})
			Convey("Until the entries of ended instances have expired", func() {
				time.Sleep(relistedGrace)
				d.ExpireUnlisted()
				got, _ := d.View().Find("a")
				So(got.Unconfirmed, ShouldBeFalse)
			})
			Convey("A later instance at its address comes first", func() {
				later := testInstance("c", testRevision(1, 30))
				later.Addr = "a:1"
				d := New(DefaultConfig(discardLog))
				d.Replace(Snapshot{Revision: testRevision(1, 23), Instances: []Instance{testInstance("a", testRevision(1, 3))}})
				d.Apply([]Change{{Removed: "a", RemovedAt: testRevision(1, 25)}}, testRevision(1, 25))
				time.Sleep(unlistedGrace)
				d.ExpireUnlisted()
				d.Apply([]Change{{Instance: &later}}, testRevision(1, 30))
				d.Replace(Snapshot{Revision: testRevision(2, 20), Instances: []Instance{testInstance("a", testRevision(2, 3))}})
				d.ConfirmUnlisted(later.Incarnation(), time.Now().Add(time.Second))
				got, _ := d.View().InstanceAt("a:1")
				So(got.ID, ShouldEqual, InstanceID("c"))
			})
		})
	})
}

// A source comes back from a backup that lacks instances registered since, which
// are listed again once they report. Dropping them in between would refuse
// requests.
func TestInstancesMissingInBackupAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(DefaultConfig(discardLog))
		d.SourceAnswered()
		d.Replace(Snapshot{Revision: testRevision(1, 23), Instances: []Instance{testInstance("a", testRevision(1, 21)), leavingInstance("b", testRevision(1, 22))}})
		time.Sleep(time.Minute)
		d.Replace(Snapshot{Revision: testRevision(2, 20)})
		Convey("They are kept as after an outage, except for those that leave", t, func() {
			So(d.LastSourceFailure(), ShouldEqual, time.Now())
			time.Sleep(2 * time.Second)
			d.ExpireUnlisted()
			So(d.View().All(), ShouldHaveLength, 1)
			in, _ := d.View().Find("a")
			So(in.Unconfirmed, ShouldBeTrue)
			back := testInstance("a", testRevision(2, 21))
			d.Apply([]Change{{Instance: &back}}, testRevision(2, 21))
			in, _ = d.View().Find("a")
			So(in.Unconfirmed, ShouldBeFalse)
		})
	})
}
