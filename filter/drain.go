package filter

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/call"
)

// drainRetryAfter tells a caller refused by a leaving node when to come back;
// by then its router has moved to another instance.
const drainRetryAfter = time.Second

// RefuseLeaving is the refusal of an instance that is leaving.
func RefuseLeaving(r call.Request) call.Answer {
	a := call.Refuse(r, "instance leaving", drainRetryAfter)
	a.Leaving = true
	return a
}

// Drain refuses new calls once leaving is set, marking the answer Leaving so
// that the caller's router stops picking this instance. A key refused so is
// declined: leaving is for good, so another instance may run it.
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
