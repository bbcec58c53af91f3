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

// chains offers 35 requests a second for a time, each of which makes calls
// that succeed with a chance each, and returns how many were let in, how many
// of these failed, and the part of all that was served.
func chains(p *Prospects, rng *rand.Rand, calls int, chance float64, d time.Duration) (in, failed int, served float64) {
	n := int(35 * d.Seconds())
	for i := range n {
		time.Sleep(time.Second / 35)
		if LevelOf(2, call.RequestID(fmt.Sprint(calls, i, rng.Uint64()))) > p.Threshold("view") {
			continue
		}
		in++
		ok := true
		for range calls {
			ok = ok && rng.Float64() < chance
		}
		p.Ended("view", 2, ok)
		if !ok {
			failed++
		}
	}
	return in, failed, float64(in-failed) / float64(n)
}

// Every instance of a service refuses half of what it gets for eight seconds.
// Reads and bookings need eight calls there; all of them are let in, run in
// part and fail, 700 a second, and a booking that failed is lost for its
// caller.
func TestRoutesWithoutProspectsAreRefusedAtTheEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		p := NewProspects(Everyone{})
		Convey("Three quarters are refused unrun, and all admitted soon after it ends", t, func() {
			_, _, served := chains(p, rng, 8, 1, 3*time.Second)
			So(served, ShouldEqual, 1)
			in, failed, _ := chains(p, rng, 8, 0.45, 8*time.Second)
			So(in, ShouldBeLessThan, 35*8*45/100)
			So(failed, ShouldBeGreaterThan, in*9/10)
			chains(p, rng, 8, 1, time.Second)
			_, _, served = chains(p, rng, 8, 1, 2*time.Second)
			So(served, ShouldEqual, 1)
		})
		Convey("A route that half succeeds is left alone", t, func() {
			in, _, _ := chains(p, rng, 1, 0.45, 8*time.Second)
			So(in, ShouldEqual, 35*8)
		})
		Convey("And one that nobody asked for is forgotten", t, func() {
			for range 100 {
				p.Ended("view", 2, false)
			}
			So(p.Threshold("view"), ShouldEqual, 2*Parts+probeParts-1)
			time.Sleep(prospectKept + time.Millisecond)
			So(p.Threshold("view"), ShouldEqual, Top)
		})
	})
}
