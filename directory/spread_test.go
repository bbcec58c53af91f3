package directory

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// withholding is a source that ends all watches at a first change and keeps
// the next one to itself: only a watch that is asked after it tells of it.
type withholding struct {
	mu       sync.Mutex
	instants []Instance
	first    chan struct{} // closed at the first change
	withheld time.Time     // when the second was made; zero before
}

func (s *withholding) Load(context.Context) (Snapshot, error) {
	return Snapshot{Revision: 1, Instances: s.instants}, nil
}

func (s *withholding) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.mu.Lock()
	told := !s.withheld.IsZero()
	s.mu.Unlock()
	if told && after == 2 {
		in := s.instants[1]
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
		in := s.instants[0]
		in.Revision = 2
		return []Change{{Instance: &in}}, 2, nil
	case <-time.After(wait):
		return nil, after, nil
	}
}

func (*withholding) Listed(context.Context, InstanceID) (bool, error) { return true, nil }

// The operator submits two versions shortly after each other. The store tells
// every node of the first and, just as its history is cut, nobody of the
// second. All nodes ask anew in the same moment, so all go on waiting for as
// long, and callers are served by the version before for seconds after the
// second was acknowledged.
func TestAChangeThatIsNotToldIsSoonFoundBySomeNode(t *testing.T) {
	for _, nodes := range []int{15, 100} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			src := &withholding{first: make(chan struct{})}
			for i := range nodes {
				src.instants = append(src.instants, instance(InstanceID(fmt.Sprint("i-", i)), 1))
			}
			var all []*Directory
			for range nodes {
				d := New(Usual(quiet))
				all = append(all, d)
				go d.Follow(ctx, src)
			}
			time.Sleep(10 * time.Second)
			close(src.first)
			time.Sleep(300 * time.Millisecond)
			src.mu.Lock()
			src.withheld = time.Now()
			src.mu.Unlock()
			// A second and a half leaves the others half a second of the two in
			// which a version must be in force.
			time.Sleep(1500 * time.Millisecond)
			Convey(fmt.Sprint("Some of ", nodes, " nodes has it in time"), t, func() {
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

// stormy is a source whose instance changes whenever a test says so.
type stormy struct {
	mu      sync.Mutex
	rev     Revision
	calls   int // watches that were asked
	changed chan struct{}
}

func (*stormy) Load(context.Context) (Snapshot, error) { return Snapshot{}, nil }

func (*stormy) Listed(context.Context, InstanceID) (bool, error) { return true, nil }

func (s *stormy) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	s.mu.Lock()
	s.calls++
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	rev, changed := s.rev, s.changed
	s.mu.Unlock()
	late := time.After(wait)
	for rev <= after {
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-late:
			return nil, after, nil
		case <-changed:
		}
		s.mu.Lock()
		rev, changed = s.rev, s.changed
		s.mu.Unlock()
	}
	in := instance("a", rev)
	return []Change{{Instance: &in}}, rev, nil
}

func (s *stormy) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// The operator submits ten versions in four seconds, and with each some
// instance's entry changes too. Every node is told of each by a call of its
// own, and each call has its price.
func TestChangesThatFollowEachOtherShareACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		src := &stormy{}
		d := New(Usual(quiet))
		go d.Follow(ctx, src)
		time.Sleep(time.Second)
		for range 10 {
			time.Sleep(300 * time.Millisecond)
			src.change()
			time.Sleep(100 * time.Millisecond)
			src.change()
		}
		time.Sleep(gatherMost)
		Convey("A second change in a group costs nothing, and all are known in time", t, func() {
			So(d.Revision(), ShouldEqual, 20)
			// Ten groups 0.4 s apart, each of two changes 0.1 s apart; waiting
			// 0.2 s after each took fifteen calls and more.
			So(src.calls, ShouldBeLessThan, 14)
		})
		cancel()
		synctest.Wait()
	})
}
