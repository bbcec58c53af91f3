package admit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// offerChains offers 35 requests per second, each of which makes the given
// number of calls, each of which succeeds with probability callSuccessRate.
// It returns how many requests were admitted, how many of these failed, and
// the fraction of all requests that succeeded.
func offerChains(l *SuccessRateLimiter, rng *rand.Rand, calls int, callSuccessRate float64, d time.Duration) (admitted, failed int, served float64) {
	n := int(35 * d.Seconds())
	for i := range n {
		time.Sleep(time.Second / 35)
		if LevelOf(2, call.RequestID(fmt.Sprint(calls, i, rng.Uint64()))) > l.Threshold("view") {
			continue
		}
		admitted++
		ok := true
		for range calls {
			ok = ok && rng.Float64() < callSuccessRate
		}
		l.RecordOutcome("view", 2, ok)
		if !ok {
			failed++
		}
	}
	return admitted, failed, float64(admitted-failed) / float64(n)
}

// Every instance of a service refuses half of its calls, so nearly all
// requests that need eight calls fail partway. They must be refused at
// entry, and admitted again soon after the fault ends.
func TestRoutesWithLowSuccessRateAreRefusedAtEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		l := NewSuccessRateLimiter(Unlimited{})
		Convey("Most are refused at entry, and all are admitted soon after the fault ends", t, func() {
			_, _, served := offerChains(l, rng, 8, 1, 3*time.Second)
			So(served, ShouldEqual, 1)
			admitted, failed, _ := offerChains(l, rng, 8, 0.45, 8*time.Second)
			So(admitted, ShouldBeLessThan, 35*8*45/100)
			So(failed, ShouldBeGreaterThan, admitted*9/10)
			offerChains(l, rng, 8, 1, time.Second)
			_, _, served = offerChains(l, rng, 8, 1, 2*time.Second)
			So(served, ShouldEqual, 1)
		})
		Convey("A route with a success rate of about a half is not limited", t, func() {
			admitted, _, _ := offerChains(l, rng, 1, 0.45, 8*time.Second)
			So(admitted, ShouldEqual, 35*8)
		})
		Convey("The success rate expires without requests", t, func() {
			for range 100 {
				l.RecordOutcome("view", 2, false)
			}
			So(l.Threshold("view"), ShouldEqual, 2*LevelsPerRank+probeLevels-1)
			time.Sleep(outcomeTTL + time.Millisecond)
			So(l.Threshold("view"), ShouldEqual, MaxLevel)
		})
	})
}
