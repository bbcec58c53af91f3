package filter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/call"
)

// answerOverhead is what a kept answer counts for beside its body.
const answerOverhead = 256

// Dedup runs a non-idempotent call at most once per idempotency key within
// its window. A second call with a key that is running waits for the first
// and gets the same whole answer; one with a key that finished gets the
// stored answer. A first run that was refused (NotRun) is forgotten, so the
// key may be sent again, unless the refusal declined the key for good: then
// another instance may run it, and this one must not.
type Dedup struct {
	window   *Window[call.Key, *run]
	maxBytes int

	mu    sync.Mutex
	kept  []*run // whose answers are whole, oldest first
	bytes int    // that kept counts for
}

// run is one execution under a key; done closes when answer is set.
type run struct {
	done   chan struct{}
	answer atomic.Pointer[call.Answer]
}

// NewDedup returns a Dedup that remembers keys for ttl and keeps answers of
// maxBytes together.
func NewDedup(ttl time.Duration, maxBytes int) *Dedup {
	return &Dedup{window: NewWindow[call.Key, *run](ttl), maxBytes: maxBytes}
}

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
			a := next.Serve(ctx, c)
			r.answer.Store(&a)
			if a.Status == call.NotRun && !a.Declined {
				d.window.Delete(c.Request.Key)
			} else {
				d.keep(r, len(a.Body)+answerOverhead)
			}
			close(r.done)
			return a
		})
	}
}

// keep counts a finished run's answer and drops the oldest ones past
// maxBytes. Large answers at a high rate would otherwise outgrow the node's
// memory within the window. The run itself stays known: a key whose answer
// is gone is told so, and is not run again.
func (d *Dedup) keep(r *run, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = append(d.kept, r)
	d.bytes += size
	for d.bytes > d.maxBytes && len(d.kept) > 1 {
		oldest := d.kept[0]
		d.kept = d.kept[1:]
		d.bytes -= len(oldest.answer.Load().Body) + answerOverhead
		oldest.answer.Store(&call.Answer{Status: call.Unknown, Reason: "this key ran; its answer is no longer kept"})
	}
}

func wait(ctx context.Context, c *Call, r *run) call.Answer {
	select {
	case <-r.done:
		a := *r.answer.Load()
		a.ID = c.Request.ID
		return a
	case <-ctx.Done():
		// The first run is still going: this call did not run, but the
		// action may, so the answer is Unknown rather than NotRun.
		return call.Answer{ID: c.Request.ID, Status: call.Unknown, Reason: "same key still running"}
	}
}
