package directory

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

var discardLog = &log.Logger{Handler: discard.New()}

func testRoutes(t *testing.T, v callgraph.Version) *Routes {
	r, err := NewRoutes(v, Limits{}, []Route{{Name: "r", Host: "h", Prefix: "/", MaxInstances: 1, Shares: []Share{{"archiv", 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func testInstance(id InstanceID, rev Revision) Instance {
	return Instance{ID: id, Service: "archiv", Addr: string(id) + ":1", Slots: 4, Revision: rev}
}

// fakeSource returns a fixed snapshot; watch can be set by a test.
type fakeSource struct {
	mu      sync.Mutex
	snap    Snapshot
	err     error
	loads   int
	watches int
	watch   func(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

func (f *fakeSource) Load(context.Context) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loads++
	return f.snap, f.err
}

func (f *fakeSource) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	f.mu.Lock()
	f.watches++
	w, err := f.watch, f.err
	f.mu.Unlock()
	if err != nil {
		return nil, 0, err
	}
	if w != nil {
		return w(ctx, after, wait)
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (f *fakeSource) Listed(context.Context, InstanceID) (bool, Era, error) { return false, 0, f.err }

func (f *fakeSource) set(snap Snapshot, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap, f.err = snap, err
}

// A stale copy of the routes, from the source or from a peer, must not replace
// a newer version.
func TestOlderRoutesNeverReplaceNewerOnes(t *testing.T) {
	Convey("The version of the routes only increases", t, func() {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 9, Routes: testRoutes(t, 9)})
		d.Apply([]Change{{Routes: testRoutes(t, 8)}}, 10)
		So(d.View().Routes.Version, ShouldEqual, 9)
		d.ApplyDelta(Delta{Snapshot: Snapshot{Revision: 11, Routes: testRoutes(t, 7)}})
		So(d.View().Routes.Version, ShouldEqual, 9)
		d.Apply([]Change{{Routes: testRoutes(t, 12)}}, 12)
		So(d.View().Routes.Version, ShouldEqual, 12)
	})
}

// A stale entry or removal that arrives late must not replace a newer entry.
func TestOlderEntriesNeverReplaceNewerOnes(t *testing.T) {
	Convey("The revision of an entry only increases", t, func() {
		d := New(DefaultConfig(discardLog))
		leaving := testInstance("a", 5)
		leaving.Leaving = true
		d.Replace(Snapshot{Revision: 5, Instances: []Instance{leaving}})
		old := testInstance("a", 3)
		d.Apply([]Change{{Instance: &old}}, 6)
		So(d.View().Instances("archiv")[0].Leaving, ShouldBeTrue)
		d.Apply([]Change{{Removed: "a", RemovedAt: 4}}, 6)
		So(len(d.View().Instances("archiv")), ShouldEqual, 1)
		d.Apply([]Change{{Removed: "a", RemovedAt: 7}}, 7)
		So(d.View().Instances("archiv"), ShouldBeEmpty)
	})
}

// After a power loss, instances start under new IDs at the same addresses while
// the old entries are still listed. Requests must not be sent to the dead ones,
// even if their entries change again.
func TestLatestInstanceOwnsAddress(t *testing.T) {
	Convey("Only the latest instance at an address is returned", t, func() {
		d := New(DefaultConfig(discardLog))
		at := func(id InstanceID, service string, since, rev Revision) Instance {
			return Instance{ID: id, Service: service, Addr: "10.1.0.8:80", Slots: 4, FirstRevision: since, Revision: rev}
		}
		d.Replace(Snapshot{Revision: 9, Instances: []Instance{at("old", "archiv", 2, 8), at("new", "archiv", 7, 7), testInstance("b", 3)}})
		var ids []InstanceID
		for _, in := range d.View().Instances("archiv") {
			ids = append(ids, in.ID)
		}
		So(ids, ShouldHaveLength, 2)
		So(ids, ShouldNotContain, InstanceID("old"))
		Convey("Also if it belongs to another service", func() {
			later := at("reused", "versand", 12, 12)
			d.Apply([]Change{{Instance: &later}}, 12)
			So(d.View().Instances("archiv"), ShouldHaveLength, 1)
			So(d.View().Instances("versand"), ShouldHaveLength, 1)
			Convey("The earlier one is returned again once the latest is removed", func() {
				d.Apply([]Change{{Removed: "reused", RemovedAt: 13}}, 13)
				in, ok := d.View().InstanceAt("10.1.0.8:80")
				So(ok, ShouldBeTrue)
				So(in.ID, ShouldEqual, InstanceID("new"))
			})
		})
	})
}

// The source drops all entries during an outage and the live instances are
// listed again two seconds after it. Dropping them in between would refuse
// every request.
func TestMissingEntriesAreKeptForGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 2, Instances: []Instance{testInstance("a", 1), testInstance("b", 2)}})
		d.SourceFailed(time.Now(), errors.New("refused"))
		time.Sleep(6 * time.Second)
		d.SourceAnswered()
		d.Replace(Snapshot{Revision: 4})
		Convey("Missing entries are kept until the grace period ends", t, func() {
			So(len(d.View().Instances("archiv")), ShouldEqual, 2)
			So(d.View().Instances("archiv")[0].Unconfirmed, ShouldBeTrue)
			time.Sleep(2 * time.Second)
			back := testInstance("a", 5)
			d.Apply([]Change{{Instance: &back}}, 5)
			in, _ := d.View().Find("a")
			So(in.Unconfirmed, ShouldBeFalse)
			time.Sleep(time.Second)
			d.ExpireUnlisted()
			ins := d.View().Instances("archiv")
			So(len(ins), ShouldEqual, 1)
			So(ins[0].ID, ShouldEqual, InstanceID("a"))
		})
		Convey("Without an outage a leaving instance is dropped at once", t, func() {
			leaving := testInstance("a", 6)
			leaving.Leaving = true
			d.Apply([]Change{{Instance: &leaving}, {Removed: "a", RemovedAt: 7}}, 7)
			So(d.View().Instances("archiv"), ShouldBeEmpty)
		})
		Convey("Any other is unconfirmed until its node denies it", t, func() {
			c := testInstance("c", 8)
			d.Apply([]Change{{Instance: &c}, {Removed: "c", RemovedAt: 9}}, 9)
			So(d.View().Instances("archiv")[0].Unconfirmed, ShouldBeTrue)
			d.DropUnlisted(c.Incarnation())
			So(d.View().Instances("archiv"), ShouldBeEmpty)
		})
		Convey("Or the grace period ends without a confirmation", t, func() {
			c := testInstance("c", 10)
			d.Apply([]Change{{Instance: &c}, {Removed: "c", RemovedAt: 11}}, 11)
			time.Sleep(unlistedGrace)
			d.ExpireUnlisted()
			So(d.View().Instances("archiv"), ShouldBeEmpty)
		})
	})
}

// The source does not notify a watch of a change and then discards the change
// from its history. The next watch must lead to a load, which activates the new
// version.
func TestLostHistoryTriggersReload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		src := &fakeSource{}
		var ins []Instance
		for i := range 16 {
			ins = append(ins, testInstance(InstanceID(rune('a'+i)), 1))
		}
		src.set(Snapshot{Revision: 1, Routes: testRoutes(t, 1), Instances: ins}, nil)
		d := New(DefaultConfig(discardLog))
		go d.Follow(ctx, src)
		time.Sleep(10 * time.Millisecond)
		src.mu.Lock()
		src.snap = Snapshot{Revision: 3, Routes: testRoutes(t, 2), Instances: ins}
		started := src.watches
		src.watch = func(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
			src.mu.Lock()
			src.watch = nil
			src.mu.Unlock()
			return nil, 0, ErrHistoryLost
		}
		src.mu.Unlock()
		time.Sleep(6 * time.Second)
		Convey("The new version is active after the next call", t, func() {
			So(started, ShouldEqual, 1)
			So(d.View().Routes.Version, ShouldEqual, 2)
		})
		cancel()
		synctest.Wait()
	})
}

// A watch hangs while a peer sends a newer state. The watch must be restarted
// from the newer revision.
func TestPeerDeltaRestartsHungWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		src := &fakeSource{snap: Snapshot{Revision: 1, Routes: testRoutes(t, 1)}}
		after := make(chan Revision, 10)
		src.watch = func(ctx context.Context, a Revision, _ time.Duration) ([]Change, Revision, error) {
			after <- a
			<-ctx.Done()
			return nil, 0, ctx.Err()
		}
		d := New(DefaultConfig(discardLog))
		go d.Follow(ctx, src)
		Convey("The hung watch is replaced by one from the newer revision", t, func() {
			So(<-after, ShouldEqual, 1)
			So(d.ApplyDelta(Delta{Snapshot: Snapshot{Revision: 1, Routes: testRoutes(t, 1)}}), ShouldBeFalse)
			So(d.ApplyDelta(Delta{Snapshot: Snapshot{Revision: 1, Routes: testRoutes(t, 2)}}), ShouldBeTrue)
			So(d.View().Routes.Version, ShouldEqual, 2)
			time.Sleep(2 * watchLag)
			So(after, ShouldBeEmpty) // the revision is the same, so the watch goes on
			So(d.ApplyDelta(Delta{Snapshot: Snapshot{Revision: 8, Routes: testRoutes(t, 2)}, RoutesVersion: 2}), ShouldBeTrue)
			So(<-after, ShouldEqual, 8)
			So(d.View().Routes.Version, ShouldEqual, 2)
			So(d.SourceUnreachable(), ShouldBeFalse)
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against a first configuration that is not used because its version is the
// lowest there is.
func TestFirstVersionIsUsedWhateverItsNumber(t *testing.T) {
	Convey("Version 0 is in force", t, func() {
		d := New(DefaultConfig(discardLog))
		d.Replace(Snapshot{Revision: 1, Routes: testRoutes(t, 0)})
		So(d.View().Routes, ShouldNotBeNil)
	})
}

func TestDeltaEncodingRoundTrip(t *testing.T) {
	Convey("Decode restores what Encode wrote", t, func() {
		d := New(DefaultConfig(discardLog))
		in := testInstance("a", 4)
		in.Addr, in.DC = "10.1.0.8:1", "nord"
		d.Replace(Snapshot{Revision: 7, Routes: testRoutes(t, 3), Instances: []Instance{in}})
		b, err := Encode(d.Since(Position{}))
		So(err, ShouldBeNil)
		s, err := Decode(b)
		So(err, ShouldBeNil)
		So(s.Revision, ShouldEqual, 7)
		So(s.Routes.Version, ShouldEqual, 3)
		_, err = s.Routes.Match("h", "/x")
		So(err, ShouldBeNil)
		So(s.Instances[0].Addr, ShouldEqual, "10.1.0.8:1")
		_, err = Decode([]byte("junk"))
		So(err, ShouldNotBeNil)
	})
}

func TestMatchUsesLongestPrefixOfHost(t *testing.T) {
	Convey("The longest prefix wins, other hosts are ignored, prefixes end at slashes", t, func() {
		r, err := NewRoutes(1, Limits{}, []Route{
			{Name: "short", Host: "h", Prefix: "/a/", MaxInstances: 1, Shares: []Share{{"s", 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", MaxInstances: 1, Shares: []Share{{"s", 1}}},
			{Name: "other", Host: "o", Prefix: "/a/b/c/", MaxInstances: 1, Shares: []Share{{"s", 1}}},
		})
		So(err, ShouldBeNil)
		for path, want := range map[string]string{"/a/x": "short", "/a/b/c/d": "long", "/a/bc": "short"} {
			got, err := r.Match("h", path)
			So(err, ShouldBeNil)
			So(got.Name, ShouldEqual, want)
		}
		for _, path := range []string{"/a", "/b/", "*", ""} {
			_, err := r.Match("h", path)
			So(errors.Is(err, ErrNoRoute), ShouldBeTrue)
		}
		_, err = NewRoutes(1, Limits{}, []Route{{Name: "bad", Prefix: "a"}})
		So(errors.Is(err, ErrInvalidRoutes), ShouldBeTrue)
	})
}
