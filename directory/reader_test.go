package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/smartystreets/goconvey/convey"
)

// withholdingSource ends all watches at the first change and does not notify
// them of the second, which only later calls return.
type withholdingSource struct {
	mu         sync.Mutex
	instances  []Instance
	first      chan struct{} // closed at the first change
	withheldAt time.Time     // time of the second change; zero before
}

func (s *withholdingSource) Load(context.Context) (Snapshot, error) {
	return Snapshot{Revision: 1, Instances: s.instances}, nil
}

func (s *withholdingSource) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.mu.Lock()
	withheld := !s.withheldAt.IsZero()
	s.mu.Unlock()
	if withheld && after == 2 {
		in := s.instances[1]
		in.Revision = 3
		return []Change{{Instance: &in}}, 3, nil
	}
	var first chan struct{}
	if after == 1 {
		first = s.first
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-first:
		in := s.instances[0]
		in.Revision = 2
		return []Change{{Instance: &in}}, 2, nil
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (*withholdingSource) Listed(context.Context, InstanceID) (bool, Era, error) {
	return true, 0, nil
}

// Two changes follow each other and the source notifies its watches of the
// first only. With the watches spread over time, some node must find the second
// soon.
func TestWatchSpreadFindsUnreportedChange(t *testing.T) {
	for _, nodes := range []int{15, 100} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			src := &withholdingSource{first: make(chan struct{})}
			for i := range nodes {
				src.instances = append(src.instances, testInstance(InstanceID(fmt.Sprint("i-", i)), 1))
			}
			var all []*Directory
			for range nodes {
				d := New(DefaultConfig(discardLog))
				all = append(all, d)
				go d.Follow(ctx, src)
			}
			time.Sleep(10 * time.Second)
			close(src.first)
			time.Sleep(300 * time.Millisecond)
			src.mu.Lock()
			src.withheldAt = time.Now()
			src.mu.Unlock()
			// The other nodes need half a second to learn it, and a version
			// must be active within two seconds.
			time.Sleep(1500 * time.Millisecond)
			Convey(fmt.Sprint("At least one of ", nodes, " nodes has it in time"), t, func() {
				found := 0
				for _, d := range all {
					if d.Revision() == 3 {
						found++
					}
				}
				So(found, ShouldBeGreaterThan, 0)
			})
			cancel()
			synctest.Wait()
		})
	}
}

// changingSource is a source whose revision increases with each call of change.
type changingSource struct {
	mu      sync.Mutex
	rev     Revision
	calls   int // number of watches
	changed chan struct{}
}

func (*changingSource) Load(context.Context) (Snapshot, error) { return Snapshot{}, nil }

func (*changingSource) Listed(context.Context, InstanceID) (bool, Era, error) { return true, 0, nil }

func (s *changingSource) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.mu.Lock()
	s.calls++
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	rev, changed := s.rev, s.changed
	s.mu.Unlock()
	timeout := time.After(wait)
	for rev <= after {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timeout:
			return nil, after, nil
		case <-changed:
		}
		s.mu.Lock()
		rev, changed = s.rev, s.changed
		s.mu.Unlock()
	}
	in := testInstance("a", rev)
	return []Change{{Instance: &in}}, rev, nil
}

func (s *changingSource) watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *changingSource) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// Guards against a call per change when changes follow each other within the
// batch delay.
func TestChangesInQuickSuccessionShareWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		src := &changingSource{}
		d := New(DefaultConfig(discardLog))
		go d.Follow(ctx, src)
		time.Sleep(time.Second)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			src.change()
			time.Sleep(100 * time.Millisecond)
			src.change()
		}
		time.Sleep(maxBatchDelay)
		Convey("Changes in quick succession share a call, and all are known in time", t, func() {
			So(d.Revision(), ShouldEqual, 20)
			// Ten groups 0.4 s apart, each of two changes 0.1 s apart.
			So(src.watches(), ShouldBeLessThan, 14)
		})
		cancel()
		synctest.Wait()
	})
}

// Guards against logs that do not tell a source that discarded its history from
// one whose revision decreased.
func TestLostHistoryIsLoggedWithRevisions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		lines := memory.New()
		src := &fakeSource{snap: Snapshot{Revision: 5}}
		src.watch = func(context.Context, Revision, time.Duration) ([]Change, Revision, error) {
			src.mu.Lock()
			src.watch = nil
			src.snap.Revision = 7
			src.mu.Unlock()
			return nil, 0, ErrHistoryLost
		}
		d := New(DefaultConfig(&log.Logger{Handler: lines, Level: log.InfoLevel}))
		r := d.NewReader(src, nil)
		Convey("The log has the revision watched from, and those held and loaded", t, func() {
			for range 3 {
				So(r.Step(ctx), ShouldBeNil)
			}
			So(lines.Entries, ShouldHaveLength, 3)
			So(lines.Entries[0].Fields, ShouldResemble, log.Fields{"revision": Revision(5), "held": Revision(0), "instances": 0})
			So(lines.Entries[1].Message, ShouldEqual, "source_history_lost")
			So(lines.Entries[1].Fields, ShouldResemble, log.Fields{"after": Revision(5)})
			So(lines.Entries[2].Fields, ShouldResemble, log.Fields{"revision": Revision(7), "held": Revision(5), "instances": 0})
			So(r.Counts(), ShouldResemble, ReaderCounts{Loads: 2, HistoryLosses: 1})
		})
		cancel()
		synctest.Wait()
	})
}

// Guards a source that rejects every watch against a load per rejection, and its
// changes against a reader that stops asking.
func TestRepeatedHistoryLossBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		src := &fakeSource{snap: Snapshot{Revision: 5, Routes: testRoutes(t, 1)}}
		src.watch = func(ctx context.Context, _ Revision, _ time.Duration) ([]Change, Revision, error) {
			Pause(ctx, 4*time.Millisecond)
			return nil, 0, ErrHistoryLost
		}
		d := New(DefaultConfig(discardLog))
		go d.Follow(ctx, src)
		time.Sleep(10 * time.Second)
		Convey("Loads are at least maxBackoff/2 apart after the first ones, and find changes", t, func() {
			src.mu.Lock()
			loads := src.loads
			src.mu.Unlock()
			So(loads, ShouldBeLessThan, 10*int(time.Second/(maxBackoff/2))+8)
			src.set(Snapshot{Revision: 6, Routes: testRoutes(t, 2)}, nil)
			time.Sleep(2 * time.Second)
			So(d.View().Routes.Version, ShouldEqual, 2)
		})
		cancel()
		synctest.Wait()
	})
}
