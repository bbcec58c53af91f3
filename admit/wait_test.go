package admit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against standing queues in which every response misses the target
// latency and throughput is no higher.
func TestQueueWaitEndsWhenAnswerWouldBeLate(t *testing.T) {
	const ms = time.Millisecond
	Convey("The wait is bounded by the target latency and the time left for a retry", t, func() {
		for _, c := range []struct {
			name string
			t    Times
			want time.Duration
		}{
			{"rankings", Times{Left: 600 * ms, Target: 150 * ms, Usual: 50 * ms}, 100 * ms},
			{"approval, half of its spare time", Times{Left: 1500 * ms, Target: 2000 * ms, Usual: 500 * ms}, 500 * ms},
			{"typical latency above target", Times{Left: 2000 * ms, Target: 400 * ms, Usual: 500 * ms}, 50 * ms},
			{"latency unknown", Times{Left: 1000 * ms, Target: 300 * ms}, 200 * ms},
			{"no target", Times{Left: 900 * ms}, 300 * ms},
			{"no time to spare", Times{Left: 100 * ms, Target: 300 * ms, Usual: 120 * ms}, 0},
		} {
			So(c.name+" "+c.t.Patience().String(), ShouldEqual, c.name+" "+c.want.String())
		}
	})
}

// Callers that are refused together must not retry together, nor so late
// that the response is of no use.
func TestRetryDelaysAreSpreadAndWithinDeadline(t *testing.T) {
	Convey("Delays are spread and stay within the caller's time", t, func() {
		tm := Times{Left: 3 * time.Second, Target: 1500 * time.Millisecond, Usual: 400 * time.Millisecond}
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			after := tm.ComeBack()
			least, most = min(least, after), max(most, after)
		}
		So(most, ShouldBeLessThanOrEqualTo, time.Second)
		So(least, ShouldBeGreaterThanOrEqualTo, 500*time.Millisecond)
		So(most-least, ShouldBeGreaterThan, 400*time.Millisecond)
		So(Times{Left: 90 * time.Millisecond}.ComeBack(), ShouldBeBetweenOrEqual, minRetryDelay/2, minRetryDelay)
	})
}
