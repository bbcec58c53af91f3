package filter

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/call"
)

// Dedup runs a non-idempotent call at most once per idempotency key within
// its window. A second call with a key that is running waits for the first
// and gets the same whole answer; one with a key that finished gets the
// stored answer. A first run that was refused (NotRun) is forgotten, so the
// key may be sent again, unless the refusal declined the key for good: then
// another instance may run it, and this one must not.
type Dedup struct {
	window *Window[call.Key, *run]
}

// run is one execution under a key; done closes when answer is set.
type run struct {
	done   chan struct{}
	answer call.Answer
}

// NewDedup returns a Dedup that remembers keys for ttl.
func NewDedup(ttl time.Duration) *Dedup {
	return &Dedup{window: NewWindow[call.Key, *run](ttl)}
}

// Len returns the keys held.
func (d *Dedup) Len() int { return d.window.Len() }

// Filter returns the dedup step of the chain.
func (d *Dedup) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if c.Op.Idempotent || c.Request.Key == "" {
				return next.Serve(ctx, c)
			}
			mine := &run{done: make(chan struct{})}
			r, first := d.window.GetOrPut(c.Request.Key, mine)
			if !first {
				return wait(ctx, c, r)
			}
			r.answer = next.Serve(ctx, c)
			if r.answer.Status == call.NotRun && !r.answer.Declined {
				d.window.Delete(c.Request.Key)
			}
			close(r.done)
			return r.answer
		})
	}
}

func wait(ctx context.Context, c *Call, r *run) call.Answer {
	select {
	case <-r.done:
		a := r.answer
		a.ID = c.Request.ID
		return a
	case <-ctx.Done():
		// The first run is still going: this call did not run, but the
		// action may, so the answer is Unknown rather than NotRun.
		return call.Answer{ID: c.Request.ID, Status: call.Unknown, Reason: "same key still running"}
	}
}
