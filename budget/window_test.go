package budget

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Retries must stay within the ratio of first tries in any window, however
// long a failure lasts, counting requests made by retries.
func TestRetriesStayWithinRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Retries stay within the ratio in any window", t, func() {
			w := NewRetryWindow(RetryWindowConfig{Span: 10 * time.Second, Ratio: 0.1, MinRetries: 2})
			var at []time.Time
			for i := range 3000 {
				w.CountFirstTry()
				if i%50 == 0 {
					w.CountInheritedRetry()
					at = append(at, time.Now())
				}
				if w.TryRetry() {
					at = append(at, time.Now())
				}
				time.Sleep(10 * time.Millisecond)
			}
			for i, from := range at {
				n := 0
				for _, t := range at[i:] {
					if t.Sub(from) < 9*time.Second {
						n++
					}
				}
				So(n, ShouldBeLessThanOrEqualTo, 103)
			}
			So(len(at), ShouldBeGreaterThan, 250)
		})
		Convey("After a pause only MinRetries are left", t, func() {
			w := NewRetryWindow(RetryWindowConfig{Span: 10 * time.Second, Ratio: 0.1, MinRetries: 2})
			for range 100 {
				w.CountFirstTry()
			}
			time.Sleep(11 * time.Second)
			So(w.TryRetry(), ShouldBeTrue)
			So(w.TryRetry(), ShouldBeTrue)
			So(w.TryRetry(), ShouldBeFalse)
		})
	})
}

// Guards against a budget that many nodes overdraw together, each with a few
// retries, while all instances of a service with few requests fail.
func TestRetriesOfManyNodesStayWithinSharedBudget(t *testing.T) {
	for _, c := range []struct {
		nodes, requests int
		shared          float64
	}{{16, 100, 50}, {16, 60, 25}, {70, 400, 102}, {196, 1000, 213}, {196, 1000, 106}, {400, 1000, 213}} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%d nodes, %d requests in a window, %.0f retries beside the ratio", c.nodes, c.requests, c.shared), t, func() {
				windows := make([]*RetryWindow, c.nodes)
				for i := range windows {
					windows[i] = NewRetryWindow(RetryWindowConfig{Span: 10 * time.Second, Ratio: 0.05, MinRetries: 2, SharedRetries: c.shared})
					windows[i].SetNodeCount(c.nodes)
				}
				retries := 0
				for i := range c.requests {
					w := windows[i%c.nodes]
					w.CountFirstTry()
					if w.TryRetry() {
						retries++
					}
				}
				So(float64(retries), ShouldBeLessThanOrEqualTo, 0.2*float64(c.requests)+c.shared)
			})
		})
	}
}

// The wall clock is set ahead and back. Guards against a window that is emptied by it,
// so that as many retries are sent once more.
func TestWindowIsTimedByMonotonicClock(t *testing.T) {
	Convey("Buckets are numbered from the start of the window, whatever the wall clock shows", t, func() {
		w := NewRetryWindow(RetryWindowConfig{Span: 10 * time.Second, MinRetries: 2})
		So(w.current().index, ShouldEqual, 0)
	})
}
