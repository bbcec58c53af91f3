package admit

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// On a busy weekend members ask for rankings, which take 50 ms, are wanted
// within 150 ms and worth little after, and nobody waits longer than 600 ms.
// In a queue that stands, a wait of 275 ms makes every answer late and serves
// nobody more.
func TestANewRequestWaitsNoLongerThanItsAnswerIsOnTime(t *testing.T) {
	const ms = time.Millisecond
	Convey("The wait ends where the answer would be late, or where no time to come back is left", t, func() {
		for _, c := range []struct {
			name string
			t    Times
			want time.Duration
		}{
			{"rankings", Times{Left: 600 * ms, Target: 150 * ms, Usual: 50 * ms}, 100 * ms},
			{"approval, half of what it can spare", Times{Left: 1500 * ms, Target: 2000 * ms, Usual: 500 * ms}, 500 * ms},
			{"slower than its target already", Times{Left: 2000 * ms, Target: 400 * ms, Usual: 500 * ms}, 50 * ms},
			{"not measured yet", Times{Left: 1000 * ms, Target: 300 * ms}, 200 * ms},
			{"no target", Times{Left: 900 * ms}, 300 * ms},
			{"no time to spare", Times{Left: 100 * ms, Target: 300 * ms, Usual: 120 * ms}, 0},
		} {
			So(c.name+" "+c.t.Patience().String(), ShouldEqual, c.name+" "+c.want.String())
		}
	})
}

// Hundreds are refused in the same moment. If all came back together they
// would be refused together; if they came back after the time in which the
// answer is wanted, or in which they still wait, it would be for nothing.
func TestRefusedCallersComeBackSpreadAndInTime(t *testing.T) {
	Convey("Each is told a time of its own within what it has", t, func() {
		tm := Times{Left: 3 * time.Second, Target: 1500 * time.Millisecond, Usual: 400 * time.Millisecond}
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			after := tm.ComeBack()
			least, most = min(least, after), max(most, after)
		}
		So(most, ShouldBeLessThanOrEqualTo, time.Second)
		So(least, ShouldBeGreaterThanOrEqualTo, 500*time.Millisecond)
		So(most-least, ShouldBeGreaterThan, 400*time.Millisecond)
		So(Times{Left: 90 * time.Millisecond}.ComeBack(), ShouldBeBetweenOrEqual, comeBackLeast/2, comeBackLeast)
	})
}
