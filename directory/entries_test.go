package directory

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// An instance crashes and restarts under its ID. A late report of the earlier
// start, from the source or a peer, must not replace the later start.
func TestLaterStartWins(t *testing.T) {
	Convey("Also if the entry of the earlier start was written last", t, func() {
		d := New(DefaultConfig(discardLog))
		restarted := testInstance("a", 5)
		restarted.Started = 2000
		d.Replace(Snapshot{Revision: 5, Instances: []Instance{restarted}})
		stale := testInstance("a", 6)
		stale.Started, stale.Leaving = 1000, true
		d.Apply([]Change{{Instance: &stale}}, 6)
		d.ApplyDelta(Delta{Snapshot: Snapshot{Revision: 7, Instances: []Instance{stale}}})
		in, ok := d.View().Find("a")
		So(ok, ShouldBeTrue)
		So(in.Started, ShouldEqual, UnixMilli(2000))
		So(in.Leaving, ShouldBeFalse)
	})
}

// An entry with an unknown service must not hide the instance at the same
// address, and an invalid entry must not remove the instance known under its
// ID.
func TestInvalidEntriesDoNotHideInstances(t *testing.T) {
	Convey("The instance is kept", t, func() {
		d := New(DefaultConfig(discardLog))
		r := testRoutes(t, 3)
		r.Services = []Service{{Name: "archiv", HealthPath: "/health"}}
		invalid := testInstance("odd", 9)
		invalid.Service, invalid.Addr, invalid.FirstRevision = "nobody", "a:1", 9
		d.Replace(Snapshot{Revision: 9, Routes: r, Instances: []Instance{testInstance("a", 3), invalid}})
		So(d.View().Instances("archiv"), ShouldHaveLength, 1)
		in, _ := d.View().InstanceAt("a:1")
		So(in.ID, ShouldEqual, InstanceID("a"))
		d.Replace(Snapshot{Revision: 10, Routes: r, Invalid: []InstanceID{"a"}})
		So(d.View().Instances("archiv"), ShouldHaveLength, 1)
		So(d.InvalidEntries(), ShouldEqual, 1)
		Convey("The entry is used once the routes name its service", func() {
			named := testRoutes(t, 4)
			named.Services = []Service{{Name: "archiv"}, {Name: "nobody"}}
			invalid.Addr, invalid.Revision = "c:1", 11
			d.Apply([]Change{{Instance: &invalid}, {Routes: named}}, 12)
			So(d.View().Instances("nobody"), ShouldHaveLength, 1)
		})
	})
}

// Applies changes in random order and compares with an oracle: per ID the
// latest start and its latest entry, unless removed later. An entry that is not
// held, although everything up to its revision is known, was removed.
func TestDirectoryMatchesLatestWrites(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(DefaultConfig(discardLog))
		type entryState struct {
			started UnixMilli
			rev     Revision
			gone    bool
		}
		want := map[InstanceID]entryState{}
		removed := map[InstanceID]Revision{}
		id := rapid.SampledFrom([]InstanceID{"a", "b", "c"})
		rev := Revision(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			in := testInstance(id.Draw(t, "id"), Revision(rapid.IntRange(1, 20).Draw(t, "rev")))
			in.Started = UnixMilli(rapid.IntRange(0, 3).Draw(t, "start"))
			old, known := want[in.ID]
			if rapid.Bool().Draw(t, "gone") {
				rev = max(rev, in.Revision)
				removed[in.ID] = max(removed[in.ID], in.Revision)
				d.Apply([]Change{{Removed: in.ID, RemovedAt: in.Revision}}, rev)
				if known && old.rev <= in.Revision {
					old.gone = true
					want[in.ID] = old
				}
			} else {
				d.Apply([]Change{{Instance: &in}}, rev)
				stale := in.Revision <= removed[in.ID] || (!known && in.Revision <= rev)
				if !stale && (!known || in.Started > old.started || (in.Started == old.started && in.Revision >= old.rev)) {
					want[in.ID] = entryState{in.Started, in.Revision, false}
				}
			}
			got := map[InstanceID]entryState{}
			for id, in := range d.View().All() {
				got[id] = entryState{in.Started, in.Revision, in.Unlisted}
			}
			if len(got) != len(want) {
				t.Fatalf("have %v, want %v", got, want)
			}
			for id, f := range want {
				if got[id] != f {
					t.Fatalf("%s: have %v, want %v", id, got[id], f)
				}
			}
		}
	})
}
