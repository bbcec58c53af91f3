package filter

import (
	"context"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/owner"
)

// KeyOwnership passes a non-idempotent call on only if this instance may run
// its key. It must come after Dedup, which answers keys that already ran here,
// and before Drain, which declines keys that this instance would otherwise run.
func KeyOwnership(ownership *owner.Arbiter) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if c.Op.Idempotent {
				return next.Serve(ctx, c)
			}
			switch ownership.Claim(c.Request.Service, c.Request.Key, c.Request.DeclinedBy) {
			case owner.Run:
				return next.Serve(ctx, c)
			case owner.Decline:
				a := call.Refuse(*c.Request, "another instance has this key", MinRetryAfter)
				a.Declined = true
				return a
			}
			return call.Answer{ID: c.Request.ID, Status: call.Unknown, Reason: "an earlier try of this key may have run before this node started"}
		})
	}
}
