package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// A deep service sheds nearly all reads for a while, then is well again. At
// a service above it, reads must stop taking the target's time while that
// lasts, and all run again within seconds of its end; approvals, and a few
// reads now and then, are never held back.
func TestThrottleFollowsShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached, shedding, leaving := 0, true, false
		h := Chain(HandlerFunc(func(_ context.Context, c *Call) call.Answer {
			reached++
			if leaving {
				return RefuseLeaving(*c.Request)
			}
			if shedding && c.Op.Class == call.Sheddable && reached%10 != 0 {
				return call.Refuse(*c.Request, "shedding", 70*time.Millisecond)
			}
			return call.Answer{Status: call.OK}
		}), NewThrottle().Filter())
		send := func(class call.Class, n int, every time.Duration) (passed int, last call.Answer) {
			reached = 0
			for range n {
				last = h.Serve(context.Background(), &Call{Request: &call.Request{}, Op: &callgraph.Operation{Name: string(class), Class: class}})
				time.Sleep(every)
			}
			return reached, last
		}
		Convey("At a low rate nothing is throttled", t, func() {
			passed, _ := send(call.Sheddable, 20, time.Second)
			So(passed, ShouldEqual, 20)
		})
		Convey("While shedding lasts few reads pass, and each refusal says when to come back", t, func() {
			send(call.Sheddable, 300, 10*time.Millisecond)
			passed, last := send(call.Sheddable, 1000, 10*time.Millisecond)
			So(passed, ShouldBeBetween, 20, 350)
			if last.Status == call.NotRun {
				So(last.RetryAfter, ShouldEqual, 70*time.Millisecond)
			}
		})
		Convey("Approvals all pass", t, func() {
			passed, _ := send(call.Critical, 500, time.Millisecond)
			So(passed, ShouldEqual, 500)
		})
		shedding = false
		Convey("1 s after the end of the shedding every read passes", t, func() {
			send(call.Sheddable, 100, 10*time.Millisecond)
			passed, _ := send(call.Sheddable, 200, 10*time.Millisecond)
			So(passed, ShouldEqual, 200)
		})
		leaving = true
		Convey("A leaving target's refusals are not taken for shedding", t, func() {
			passed, last := send(call.Sheddable, 200, 10*time.Millisecond)
			So(passed, ShouldEqual, 200)
			So(last.Leaving, ShouldBeTrue)
		})
	})
}
