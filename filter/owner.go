package filter

import (
	"context"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/owner"
)

// Owner lets a non-idempotent call pass only if this instance may run its
// key. It stands behind Dedup, which answers the keys that ran here, and
// before Drain, which declines what this instance would run.
func Owner(book *owner.Book) Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if c.Op.Idempotent {
				return next.Serve(ctx, c)
			}
			switch book.Claim(c.Request.Service, c.Request.Key, c.Request.Passed) {
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
