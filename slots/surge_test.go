package slots

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// callChain is a load of requests that each make sequential calls to one
// target and succeed only if all of them complete in time.
type callChain struct {
	perSecond   int
	calls       int
	serviceTime time.Duration // per call
	callTimeout time.Duration // per call
	timeout     time.Duration // per request
}

// run offers the load to a gate for the duration d and returns the number of
// requests that completed.
func (c callChain) run(g *Gate, d time.Duration) (completed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range int(d.Seconds() * float64(c.perSecond)) {
		wg.Go(func() {
			if c.runOne(g, call.RequestID(strconv.Itoa(i))) {
				mu.Lock()
				completed++
				mu.Unlock()
			}
		})
		time.Sleep(time.Second / time.Duration(c.perSecond))
	}
	wg.Wait()
	return completed
}

func (c callChain) runOne(g *Gate, id call.RequestID) bool {
	end := time.Now().Add(c.timeout)
	for range c.calls {
		deadline := time.Now().Add(c.callTimeout)
		if deadline.After(end) {
			deadline = end
		}
		if _, err := g.Acquire(context.Background(), Ticket{Level: admit.LevelOf(2, id), Deadline: deadline}); err != nil {
			return false
		}
		time.Sleep(c.serviceTime)
		g.Release(c.serviceTime)
	}
	return time.Now().Before(end)
}

// At twice the capacity, guards against congestion collapse: if calls are
// served in order of arrival, hardly any request completes all of its calls
// in time.
func TestSurgeOfCallChainsKeepsThroughput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("At twice the capacity, throughput is at least nine tenths of capacity", t, func() {
			// 10 slots at 20 ms per call are 500 calls or 100 requests per
			// second.
			c := callChain{perSecond: 200, calls: 5, serviceTime: 20 * time.Millisecond, callTimeout: 300 * time.Millisecond, timeout: time.Second}
			So(c.run(NewGate(10, DefaultQueueOrder()), 10*time.Second), ShouldBeGreaterThan, 900)
		})
		Convey("Below capacity, every request completes", t, func() {
			c := callChain{perSecond: 80, calls: 5, serviceTime: 20 * time.Millisecond, callTimeout: 300 * time.Millisecond, timeout: time.Second}
			So(c.run(NewGate(10, DefaultQueueOrder()), 10*time.Second), ShouldEqual, 800)
		})
	})
}
