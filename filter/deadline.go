package filter

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/call"
)

// minWork is the least time left that is worth starting work for.
const minWork = time.Millisecond

// Deadline refuses a call whose time is up before any work starts, and
// bounds the rest of the chain by the time the caller gave. skew is how far
// the clocks of two nodes may differ.
func Deadline(skew time.Duration) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			// Work started for a request whose caller has already given up
			// is waste at the worst moment; it shows as targets busy with
			// answers nobody reads. Refusing here runs nothing.
			// A call that waited in the socket of a paused process shows the
			// time it had when it was sent; how long ago that was counts too.
			if !c.Request.Sent.IsZero() {
				if late := time.Since(c.Request.Sent) - skew; late > 0 {
					c.Request.Remaining -= late
				}
			}
			if c.Request.Remaining < minWork {
				return call.Refuse(*c.Request, "deadline passed", 0)
			}
			ctx, cancel := context.WithTimeout(ctx, c.Request.Remaining)
			defer cancel()
			return next.Serve(ctx, c)
		})
	}
}
