package vouch

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var errNoAnswer = errors.New("no answer")

// fakeEnv simulates the source and the target as seen by one node.
type fakeEnv struct {
	listed            bool
	sourceReachable   bool // by this node
	status            ServingStatus
	lastSourceFailure time.Time    // last failure of other requests to the source
	lookups           atomic.Int32 // number of Listed calls
	sourceLatency     time.Duration
	instance          directory.Instance
}

func (e *fakeEnv) newChecker() *Checker {
	checker := NewChecker(Config{
		Listed: func(ctx context.Context, _ directory.InstanceID) (bool, error) {
			e.lookups.Add(1)
			if !e.sourceReachable {
				return false, errNoAnswer
			}
			select {
			case <-time.After(e.sourceLatency):
				return e.listed, nil
			case <-ctx.Done():
				return false, ctx.Err()
			}
		},
		Probe:             func(context.Context, directory.Instance) ServingStatus { return e.status },
		LastSourceFailure: func() time.Time { return e.lastSourceFailure },
	})
	checker.Observe(e.instance)
	return checker
}

func newFakeEnv() *fakeEnv {
	return &fakeEnv{listed: true, sourceReachable: true, status: Serving, instance: directory.Instance{ID: "i", Started: 1000, Service: "s", Slots: 4}}
}

func (e *fakeEnv) incarnation() directory.Incarnation { return e.instance.Incarnation() }

// Entries are removed because of network partitions, rejections, unannounced
// exits, crashes and restarts, which look the same to other nodes. A live
// instance must be vouched for, and one that left must not.
func TestVouchDecisions(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(*fakeEnv)
		want bool
	}{
		{"still listed", func(*fakeEnv) {}, true},
		{"removed while the source answers", func(e *fakeEnv) { e.listed = false }, false},
		{"the source is unreachable", func(e *fakeEnv) { e.sourceReachable, e.listed = false, false }, true},
		{"the source exceeds the timeout", func(e *fakeEnv) { e.sourceLatency = time.Minute }, true},
		{"unreachable, and the instance drains", func(e *fakeEnv) { e.sourceReachable, e.status = false, NotServing }, false},
		{"unreachable, and the probe is inconclusive", func(e *fakeEnv) { e.sourceReachable, e.status = false, StatusUnknown }, false},
		{"reachable again just now", func(e *fakeEnv) { e.listed, e.lastSourceFailure = false, time.Now().Add(-time.Second) }, true},
		{"reachable again, and the instance drains", func(e *fakeEnv) { e.listed, e.status, e.lastSourceFailure = false, NotServing, time.Now() }, false},
		{"reachable again for long enough to be listed", func(e *fakeEnv) { e.listed, e.lastSourceFailure = false, time.Now().Add(-relistGrace) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				e := newFakeEnv()
				c.set(e)
				So(e.newChecker().Vouch(t.Context(), e.incarnation()), ShouldEqual, c.want)
			})
		})
	}
}

// A vouch for a run that the node has not seen listed, or that is leaving, would
// send requests to the wrong process or to one that refuses them.
func TestVouchRequiresObservedIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("No vouch without an observed instance, for another ID or run, or while leaving", t, func() {
			e := newFakeEnv()
			So(NewChecker(Config{}).Vouch(t.Context(), e.incarnation()), ShouldBeFalse)
			checker := e.newChecker()
			So(checker.Vouch(t.Context(), directory.Incarnation{ID: "other", At: 1000}), ShouldBeFalse)
			So(checker.Vouch(t.Context(), directory.Incarnation{ID: "i", At: 500}), ShouldBeFalse)
			So(checker.Vouch(t.Context(), e.incarnation()), ShouldBeTrue)
			e.instance.Leaving = true
			checker.Observe(e.instance)
			So(checker.Vouch(t.Context(), e.incarnation()), ShouldBeFalse)
		})
	})
}

// All nodes that use an instance ask for a vouch at the same time and on every
// renewal. They must not each cause a request to the source and the target.
func TestConcurrentVouchesShareOneCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A hundred nodes cause at most five checks in two seconds", t, func() {
			e := newFakeEnv()
			e.sourceLatency = 100 * time.Millisecond
			checker := e.newChecker()
			for range 4 {
				for range 100 {
					go checker.Vouch(t.Context(), e.incarnation())
				}
				time.Sleep(RenewInterval)
			}
			So(e.lookups.Load(), ShouldBeLessThanOrEqualTo, 5)
		})
	})
}

// Guards against a node that answers nothing any more because a check and a
// change of the directory wait for each other's lock.
func TestCheckDoesNotBlockObserve(t *testing.T) {
	Convey("The last failure of the source is asked for without the Checker's lock", t, func() {
		in := directory.Instance{ID: "i"}
		var c *Checker
		c = NewChecker(Config{
			Listed: func(context.Context, directory.InstanceID) (bool, error) { return false, nil },
			Probe:  func(context.Context, directory.Instance) ServingStatus { return Serving },
			LastSourceFailure: func() time.Time {
				c.Observe(in) // as a change of the directory does
				return time.Now()
			},
		})
		c.Observe(in)
		vouched := make(chan bool, 1)
		go func() { vouched <- c.Vouch(context.Background(), in.Incarnation()) }()
		select {
		case v := <-vouched:
			So(v, ShouldBeTrue)
		case <-time.After(10 * time.Second):
			So("no verdict after 10 s", ShouldBeEmpty)
		}
	})
}

// Guards against an instance that is not vouched for because the exit of the run
// before it is recorded only after it was listed.
func TestExitOfFormerRunIsNotOfTheListedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An exit from before the listed start does not count, a later one does", t, func() {
			e := newFakeEnv()
			checker := e.newChecker()
			checker.RecordExit(e.instance.Started - 1)
			So(checker.Vouch(context.Background(), e.incarnation()), ShouldBeTrue)
			checker.RecordExit(e.instance.Started)
			So(checker.Vouch(context.Background(), e.incarnation()), ShouldBeFalse)
		})
	})
}
