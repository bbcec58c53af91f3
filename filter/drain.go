package filter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/call"
)

// drainRetryAfter is the retry-after in refusals of a leaving instance;
// callers have switched to another instance by then.
const drainRetryAfter = time.Second

// RefuseLeaving returns the NotRun answer of an instance that is shutting
// down.
func RefuseLeaving(r call.Request) call.Answer {
	a := call.Refuse(r, "instance leaving", drainRetryAfter)
	a.Leaving = true
	return a
}

// Drain refuses new calls once leaving is set. The answer has Leaving set, so
// that routers stop picking this instance. For a non-idempotent call it also
// has Declined set: leaving is permanent, so another instance may run the
// key.
func Drain(leaving *atomic.Bool) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if leaving.Load() {
				a := RefuseLeaving(*c.Request)
				a.Declined = !c.Op.Idempotent
				return a
			}
			return next.Serve(ctx, c)
		})
	}
}
