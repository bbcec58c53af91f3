package admit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against standing queues in which every response misses the target
// latency and throughput is no higher.
func TestQueueWaitEndsWhenResponseWouldBeLate(t *testing.T) {
	const ms = time.Millisecond
	Convey("The wait is bounded by the target latency and the time left for a retry", t, func() {
		for _, c := range []struct {
			name string
			t    RequestTiming
			want time.Duration
		}{
			{"rankings", RequestTiming{Remaining: 600 * ms, TargetLatency: 150 * ms, TypicalLatency: 50 * ms}, 100 * ms},
			{"approval, half of its spare time", RequestTiming{Remaining: 1500 * ms, TargetLatency: 2000 * ms, TypicalLatency: 500 * ms}, 500 * ms},
			{"typical latency above target latency", RequestTiming{Remaining: 2000 * ms, TargetLatency: 400 * ms, TypicalLatency: 500 * ms}, 50 * ms},
			{"latency unknown", RequestTiming{Remaining: 1000 * ms, TargetLatency: 300 * ms}, 200 * ms},
			{"no target latency", RequestTiming{Remaining: 900 * ms}, 300 * ms},
			{"no time to spare", RequestTiming{Remaining: 100 * ms, TargetLatency: 300 * ms, TypicalLatency: 120 * ms}, 0},
		} {
			So(c.name+" "+c.t.MaxQueueWait().String(), ShouldEqual, c.name+" "+c.want.String())
		}
	})
}

// Callers that are refused together must not retry together, nor so late
// that the response is of no use.
func TestRetryDelaysAreSpreadAndWithinDeadline(t *testing.T) {
	Convey("Delays are spread and stay within the caller's time", t, func() {
		tm := RequestTiming{Remaining: 3 * time.Second, TargetLatency: 1500 * time.Millisecond, TypicalLatency: 400 * time.Millisecond}
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			after := tm.RetryAfter()
			least, most = min(least, after), max(most, after)
		}
		So(most, ShouldBeLessThanOrEqualTo, time.Second)
		So(least, ShouldBeGreaterThanOrEqualTo, 500*time.Millisecond)
		So(most-least, ShouldBeGreaterThan, 400*time.Millisecond)
		So(RequestTiming{Remaining: 90 * time.Millisecond}.RetryAfter(), ShouldBeBetweenOrEqual, minRetryDelay/2, minRetryDelay)
	})
}
