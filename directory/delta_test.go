package directory

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against whole lists being sent at each change.
func TestDeltaContainsOnlyChanges(t *testing.T) {
	Convey("A delta from a revision", t, func() {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 9, Routes: testRoutes(t, 3), Instances: []Instance{testInstance("a", 3), testInstance("b", 4), testInstance("c", 5)}})
		b := testInstance("b", 11)
		d.Apply([]Change{{Instance: &b}, {Removed: "c", RemovedAt: 12}}, 12)
		x := d.Since(Position{Revision: 10, Routes: 3})
		So(x.Routes, ShouldBeNil)
		So(x.Instances, ShouldHaveLength, 1)
		So(x.Instances[0].ID, ShouldEqual, InstanceID("b"))
		So(x.Removed, ShouldResemble, []Removal{{ID: "c", At: 12}})
		Convey("Is empty for a node that is ahead", func() {
			x := d.Since(Position{Revision: 13})
			So(x.Instances, ShouldBeEmpty)
			So(x.Removed, ShouldBeEmpty)
		})
		Convey("Contains the routes if they are newer, and everything from revision 0", func() {
			So(d.Since(Position{Revision: 10, Routes: 2}).Routes, ShouldNotBeNil)
			So(d.Since(Position{Revision: 8, Routes: 3}).Routes, ShouldBeNil)
			So(d.Since(Position{Revision: 0}).Instances, ShouldHaveLength, 2)
		})
		Convey("Is complete if removals were discarded", func() {
			for i := range maxRemovals + 2 {
				d.Apply([]Change{{Removed: InstanceID(fmt.Sprint("x", i)), RemovedAt: Revision(20 + i)}}, Revision(20+i))
			}
			So(d.Since(Position{Revision: 12}).After, ShouldEqual, 0)
			So(d.Since(Position{Revision: 100}).After, ShouldEqual, 100)
		})
	})
}

// A delta that starts beyond the known revision must not be applied, or the
// changes in between would be lost.
func TestDeltaWithGapIsRejected(t *testing.T) {
	Convey("It changes nothing", t, func() {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 5, Instances: []Instance{testInstance("a", 3)}})
		x := Delta{After: 7, Snapshot: Snapshot{Revision: 9, Instances: []Instance{testInstance("b", 9)}}}
		So(d.ApplyDelta(x), ShouldBeFalse)
		So(d.Revision(), ShouldEqual, 5)
		So(d.View().All(), ShouldHaveLength, 1)
	})
}

// The source is unreachable for all readers and then returns without entries
// that expired. A node that learns from the readers must keep them as
// unconfirmed.
func TestNodeFedByPeersDetectsSourceOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(DefaultConfig(discardLog))
		learn := func(age time.Duration, s Snapshot) { d.ApplyDelta(Delta{Snapshot: s, Age: age}) }
		learn(0, Snapshot{Revision: 2, Instances: []Instance{testInstance("a", 1), testInstance("b", 2)}})
		Convey("The source is reported as unreachable once the state is too old", t, func() {
			So(d.SourceUnreachable(), ShouldBeFalse)
			for age := range 6 {
				time.Sleep(time.Second)
				learn(time.Duration(age+1)*time.Second, Snapshot{Revision: 2})
			}
			So(d.SourceUnreachable(), ShouldBeTrue)
			So(d.LastSourceFailure(), ShouldEqual, time.Now())
			Convey("Entries missing after the outage are kept as unconfirmed", func() {
				learn(0, Snapshot{Revision: 4})
				So(d.SourceUnreachable(), ShouldBeFalse)
				time.Sleep(2 * time.Second)
				d.ExpireUnlisted()
				So(d.View().Instances("archiv"), ShouldHaveLength, 2)
				So(d.View().Instances("archiv")[0].Unconfirmed, ShouldBeTrue)
			})
		})
	})
}

// The source rejects a reader while a peer still reaches it. The reader must
// not report the source as unreachable.
func TestRejectedReaderUsesPeerDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(DefaultConfig(discardLog))
		d.SourceAnswered()
		d.Replace(Snapshot{Revision: 2})
		Convey("The source is unreachable until a peer sends a delta", t, func() {
			d.SourceFailed(time.Now(), errors.New("rejected by the store"))
			So(d.SourceUnreachable(), ShouldBeTrue)
			time.Sleep(300 * time.Millisecond)
			d.ApplyDelta(Delta{After: 2, Snapshot: Snapshot{Revision: 2}})
			So(d.SourceUnreachable(), ShouldBeFalse)
			So(d.Age(), ShouldEqual, 0)
			time.Sleep(maxPeerAge + time.Millisecond)
			So(d.SourceUnreachable(), ShouldBeTrue)
		})
	})
}

// Guards against a long poll that does not return as soon as something changes.
func TestAwaitReturnsOnFirstChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 2})
		go func() {
			time.Sleep(200 * time.Millisecond)
			in := testInstance("a", 3)
			d.Apply([]Change{{Instance: &in}}, 3)
		}()
		began := time.Now()
		x := d.Await(context.Background(), Position{Revision: 2}, time.Second)
		Convey("Await returns on a change or when the wait ends", t, func() {
			So(time.Since(began), ShouldEqual, 200*time.Millisecond)
			So(x.Instances, ShouldHaveLength, 1)
			began := time.Now()
			So(d.Await(context.Background(), Position{Revision: 3}, time.Second).Instances, ShouldBeEmpty)
			So(time.Since(began), ShouldEqual, time.Second)
		})
	})
}

// A reader loads the source after an instance was removed. A node that still
// lists the instance must get the whole state from the reader, or it would keep
// the instance for ever.
func TestDeltaCoversRemovalsBeforeFirstLoad(t *testing.T) {
	Convey("The delta is complete", t, func() {
		behind := New(DefaultConfig(discardLog))
		leaving := testInstance("a", 3)
		leaving.Leaving = true
		behind.Replace(Snapshot{Revision: 5, Instances: []Instance{leaving, testInstance("b", 4)}})
		reader := New(DefaultConfig(discardLog))
		reader.Replace(Snapshot{Revision: 9, Instances: []Instance{testInstance("b", 4)}})
		So(behind.ApplyDelta(reader.Since(Position{Revision: 5})), ShouldBeTrue)
		_, listed := behind.View().Find("a")
		So(listed, ShouldBeFalse)
		So(reader.Since(Position{Revision: 9}).After, ShouldEqual, 9)
	})
}
