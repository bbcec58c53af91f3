package slots

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Reads with eight calls each demand 1.6 times the capacity of the target.
// Guards against refusing most of the releases, which make no calls, because
// calls of running reads always wait in the queue ahead of new requests.
func TestSingleRequestsAreServedBesideCallChains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// There are 15 slots. A read takes 8 x 30 ms of slot time, a release
		// 90 ms, so reads demand 24 slots and releases 1.8.
		const reads, releases, seconds = 100, 20, 10
		g := NewGate(15, DefaultQueueOrder())
		var completedReads, completedReleases atomic.Int64
		offer := func(perSecond int, send func(id call.RequestID)) {
			for i := range perSecond * seconds {
				go send(call.RequestID(strconv.Itoa(perSecond) + "-" + strconv.Itoa(i)))
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		}
		readChain := callChain{calls: 8, serviceTime: 30 * time.Millisecond, callTimeout: 300 * time.Millisecond, timeout: 800 * time.Millisecond}
		go offer(reads, func(id call.RequestID) {
			if readChain.runOne(g, id) {
				completedReads.Add(1)
			}
		})
		offer(releases, func(id call.RequestID) {
			deadline := time.Now().Add(1200 * time.Millisecond)
			ticket := Ticket{Level: admit.LevelOf(2, id), Deadline: deadline, MaxQueueWait: 200 * time.Millisecond}
			if _, err := g.Acquire(context.Background(), ticket); err != nil {
				return
			}
			time.Sleep(90 * time.Millisecond)
			g.Release(90 * time.Millisecond)
			completedReleases.Add(1)
		})
		time.Sleep(2 * time.Second)
		Convey("At least half of the releases complete, and reads use the remaining capacity", t, func() {
			So(completedReleases.Load(), ShouldBeGreaterThan, releases*seconds/2)
			So(completedReads.Load(), ShouldBeGreaterThan, reads*seconds*4/10)
		})
	})
}
