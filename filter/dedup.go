package filter

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/call"
)

// answerOverheadBytes is added to the body size when a retained answer is
// counted.
const answerOverheadBytes = 256

// Dedup runs a non-idempotent call at most once per idempotency key within
// its window. A duplicate of a running call waits for it and gets the same
// answer; a duplicate of a finished call gets the stored answer. If the first
// execution was refused (NotRun), the key is removed so that the call may be
// retried here, unless the refusal declined the key: another instance may
// then run it, so this one must not. Dedup is safe for concurrent use.
type Dedup struct {
	window         *TTLMap[call.Key, *execution]
	maxAnswerBytes int

	mu            sync.Mutex
	retained      []*execution // finished executions with a complete answer, oldest first
	retainedBytes int          // total size of the answers in retained
}

// execution is one run of a call with an idempotency key; done is closed once
// answer is set.
type execution struct {
	done   chan struct{}
	answer atomic.Pointer[call.Answer]
}

// NewDedup returns a Dedup that remembers keys for ttl and retains answers of
// at most maxAnswerBytes in total, but always at least the latest.
func NewDedup(ttl time.Duration, maxAnswerBytes int) *Dedup {
	return &Dedup{window: NewTTLMap[call.Key, *execution](ttl), maxAnswerBytes: maxAnswerBytes}
}

// Filter returns the dedup filter.
func (d *Dedup) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if c.Op.Idempotent || c.Request.Key == "" {
				return next.Serve(ctx, c)
			}
			created := &execution{done: make(chan struct{})}
			e, first := d.window.GetOrPut(c.Request.Key, created)
			if !first {
				return awaitExecution(ctx, c, e)
			}
			return d.run(ctx, c, next, e)
		})
	}
}

// run executes the first call with a key and stores its answer. If next panics,
// duplicates are told that the call may have run: they would otherwise wait
// until their deadlines, for as long as the key is remembered.
func (d *Dedup) run(ctx context.Context, c *Call, next Handler, e *execution) (a call.Answer) {
	a = call.Answer{ID: c.Request.ID, Status: call.Unknown, Reason: "this key ran and ended without an answer"}
	defer func() { d.finish(c.Request.Key, e, a) }()
	a = next.Serve(ctx, c)
	return a
}

func (d *Dedup) finish(key call.Key, e *execution, a call.Answer) {
	e.answer.Store(&a)
	if a.Status == call.NotRun && !a.Declined {
		d.window.Delete(key)
	} else {
		d.retain(e, len(a.Body)+answerOverheadBytes)
	}
	close(e.done)
}

// retain adds the answer of a finished execution and evicts the oldest
// answers beyond maxAnswerBytes, which bounds memory under a high rate of
// large answers. Evicted keys stay in the window: duplicates are answered
// Unknown and do not run again.
func (d *Dedup) retain(e *execution, size int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retained = append(d.retained, e)
	d.retainedBytes += size
	for d.retainedBytes > d.maxAnswerBytes && len(d.retained) > 1 {
		oldest := d.retained[0]
		d.retained = d.retained[1:]
		d.retainedBytes -= len(oldest.answer.Load().Body) + answerOverheadBytes
		oldest.answer.Store(&call.Answer{Status: call.Unknown, Reason: "this key ran; its answer is no longer kept"})
	}
}

func awaitExecution(ctx context.Context, c *Call, e *execution) call.Answer {
	select {
	case <-e.done:
		a := *e.answer.Load()
		a.ID = c.Request.ID
		return a
	case <-ctx.Done():
		// The first execution is still running, so the action may take
		// effect: Unknown rather than NotRun.
		return call.Answer{ID: c.Request.ID, Status: call.Unknown, Reason: "same key still running"}
	}
}
