package filter

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/call"
)

// minRemaining is the least remaining time with which a call is still
// started.
const minRemaining = time.Millisecond

// Deadline refuses calls whose deadline has passed and applies the remaining
// time as a timeout to the rest of the chain. skew is the maximum clock
// difference between two nodes.
func Deadline(skew time.Duration) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			// Avoids running calls whose caller has already given up.
			// Remaining was computed at the sender, so time spent since then,
			// such as in the socket buffer of a paused process, is deducted.
			if !c.Request.Sent.IsZero() {
				if late := time.Since(c.Request.Sent) - skew; late > 0 {
					c.Request.Remaining -= late
				}
			}
			if c.Request.Remaining < minRemaining {
				return call.Refuse(*c.Request, "deadline passed", 0)
			}
			ctx, cancel := context.WithTimeout(ctx, c.Request.Remaining)
			defer cancel()
			return next.Serve(ctx, c)
		})
	}
}
