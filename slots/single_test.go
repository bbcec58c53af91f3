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

// A hundred staff a second read the day's schedule, each read with eight calls
// to the service that also releases rooms; twenty a second release a room, one
// request without calls. Reads alone would fill the target one and a half
// times over. Calls of running reads always wait there, and releases, being
// new, come after all of them: four in five are refused, though one takes a
// third of the slot time of a read.
func TestRequestsWithoutCallsAreServedBesideChains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// 15 slots; a read takes 8 x 30 ms of them, a release 90 ms: 24 slots
		// of reads and 1.8 of releases are asked for.
		const reads, releases, seconds = 100, 20, 10
		g := NewGate(15, Usual())
		var read, released atomic.Int64
		offer := func(perSecond int, one func(id call.RequestID)) {
			for i := range perSecond * seconds {
				go one(call.RequestID(strconv.Itoa(perSecond) + "-" + strconv.Itoa(i)))
				time.Sleep(time.Second / time.Duration(perSecond))
			}
		}
		view := chain{calls: 8, work: 30 * time.Millisecond, callTime: 300 * time.Millisecond, time: 800 * time.Millisecond}
		go offer(reads, func(id call.RequestID) {
			if view.one(g, id) {
				read.Add(1)
			}
		})
		offer(releases, func(id call.RequestID) {
			by := time.Now().Add(1200 * time.Millisecond)
			ticket := Ticket{Level: admit.LevelOf(2, id), Deadline: by, Patience: 200 * time.Millisecond}
			if _, err := g.Enter(context.Background(), ticket); err != nil {
				return
			}
			time.Sleep(90 * time.Millisecond)
			g.Leave(90 * time.Millisecond)
			released.Add(1)
		})
		time.Sleep(2 * time.Second)
		Convey("Half of the releases at least are done, and reads fill the rest", t, func() {
			So(released.Load(), ShouldBeGreaterThan, releases*seconds/2)
			So(read.Load(), ShouldBeGreaterThan, reads*seconds*4/10)
		})
	})
}
