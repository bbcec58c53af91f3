package admit

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A launch day at two hundred VMs: each node has six reads a second, and an
// answer to half of them. Half of all reads fit. Counted by answers, a node
// takes three seconds to refuse the other half, four calls deep more than
// five, and what it lets in meanwhile fails half way and takes the slots of
// what would have been done. A queue fills in half a second; the threshold
// is to follow within one.
func TestANodeWithFewAnswersFollowsASurge(t *testing.T) {
	for _, answers := range []int{3, 10, 100} {
		synctest.Test(t, func(t *testing.T) {
			b := NewBoard()
			b.See(47)
			every := time.Second / time.Duration(answers)
			for range 2 * answers {
				b.Told("read", Top, "")
				time.Sleep(every)
			}
			for range answers {
				b.Told("read", 39, "entwurf")
				time.Sleep(every)
			}
			surge := b.Threshold("read")
			for range answers {
				b.Told("read", Top, "")
				time.Sleep(every)
			}
			Convey("Down within a second, and up again", t, func() {
				So(surge, ShouldBeBetweenOrEqual, 39, 41)
				So(b.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 45)
			})
		})
	}
}

// Nearly all reads are refused, so that a node gets one answer to them in ten
// seconds. It gives the threshold up after one, lets a wave of reads in, is
// told again, and so do two hundred nodes by turns. Approvals cross the same
// service all the time, and their answers say how it is.
func TestARouteThatIsRefusedWholeIsKnownByTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBoard()
		b.See(47)
		b.Told("read", 33, "entwurf")
		b.Told("approve", 33, "entwurf")
		Convey("The threshold holds while anything tells it", t, func() {
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				b.Told("approve", 33, "entwurf")
				So(b.Threshold("read"), ShouldEqual, 33)
			}
			Convey("And goes when that tells that there is room", func() {
				for range 15 {
					time.Sleep(200 * time.Millisecond)
					b.Told("approve", Top, "")
				}
				So(b.Threshold("read"), ShouldEqual, Top)
			})
		})
		Convey("A route that does not cross that service is not refused", t, func() {
			b.Told("publish", Top, "")
			So(b.Threshold("publish"), ShouldEqual, Top)
		})
	})
}

// For a moment no instance of a service can be reached from a node that asks
// it rarely. One such request says little, and must not refuse a rank.
func TestOneRequestThatReachesNobodyRefusesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewBoard()
		b.See(47)
		b.Told("read", Top, "")
		time.Sleep(time.Second)
		b.Unreachable("read", "archiv")
		Convey("A third of the last rank at most", t, func() {
			So(b.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 42)
		})
	})
}
