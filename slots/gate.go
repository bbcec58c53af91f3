package slots

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
)

const (
	// smoothing is the weight of the newest sample in mean service times,
	// high enough for a slowdown to show within a second at a busy target.
	smoothing = 1.0 / 32
	// initialServiceTime is the mean service time assumed until one is
	// measured.
	initialServiceTime = 50 * time.Millisecond
)

var (
	// ErrTooLate is returned for a request that would miss its deadline, or
	// that exceeded its MaxQueueWait in the queue.
	ErrTooLate = eris.New("would not be done in time")
	// ErrRateLimited is returned for a request that would have to wait for the
	// target's rate limit although its Ticket does not ask for it.
	ErrRateLimited = eris.New("target is at its rate limit")
	// ErrLeaving is returned while the gate is closed because the target
	// accepts no new requests.
	ErrLeaving = eris.New("target is leaving")
)

type (
	// Ticket holds what determines a request's position in the queue.
	Ticket struct {
		Level    call.Level
		Deadline time.Time
		// MaxQueueWait is the longest time to wait in the queue; 0 means until
		// Deadline.
		MaxQueueWait time.Duration
		// AwaitRate lets the request wait for the target's rate limit. Without
		// it, it is refused at once, to be sent to another instance.
		AwaitRate bool
	}

	// Gate limits the number of requests that are at a target concurrently,
	// and the rate at which it gets them, and queues the rest. A queued
	// request can still be refused as not run, whereas one sent to an
	// overloaded target may remain unanswered. It is safe for concurrent use.
	Gate struct {
		order QueueOrder

		mu              sync.Mutex
		limit           int
		inFlight        int
		meanServiceTime time.Duration
		queue           PriorityQueue[*waiter]
		closed          bool
		rate            *rateLimit // nil for none
	}

	waiter struct {
		ticket   Ticket
		enqueued time.Time
		patience time.Duration // longest time to wait
		result   chan error    // buffered; receives nil when admitted
	}
)

// NewGate returns a Gate for a target that processes limit requests
// concurrently.
func NewGate(limit int, order QueueOrder) *Gate {
	return &Gate{order: order, limit: max(limit, 1), meanServiceTime: initialServiceTime}
}

// SetLimit changes the number of requests allowed at the target. Requests
// already there are not affected.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.admitWaiting()
}

// Acquire waits until the request may be sent to the target and returns the
// time spent in the queue. The error is ErrTooLate, ErrRateLimited, ErrLeaving
// or that of ctx. If it is nil, the caller must call Release.
func (g *Gate) Acquire(ctx context.Context, t Ticket) (time.Duration, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return 0, ErrLeaving
	}
	if g.inFlight < g.limit && g.queue.Len() == 0 && (g.rate == nil || g.rate.take(time.Now())) {
		g.inFlight++
		g.mu.Unlock()
		return 0, nil
	}
	now := time.Now()
	if !t.AwaitRate && g.rate.wait(now, g.queue.Len()+1) > g.slotWait(g.queue.Len()+1) {
		g.mu.Unlock()
		return 0, ErrRateLimited
	}
	expected, patience := g.expectedWait(t, now), g.patience(t, now)
	if now.Add(expected+g.meanServiceTime).After(t.Deadline) || expected > patience {
		g.mu.Unlock()
		return 0, ErrTooLate
	}
	w := &waiter{ticket: t, enqueued: now, patience: patience, result: make(chan error, 1)}
	g.queue.Push(g.order.queueLevel(t), w)
	g.refuseOvertaken(now)
	g.admitWaiting()
	g.mu.Unlock()
	return g.wait(ctx, w)
}

func (g *Gate) wait(ctx context.Context, w *waiter) (time.Duration, error) {
	// Requests of lower levels that arrive later are served first, so the wait
	// can exceed expectedWait.
	timer := time.NewTimer(w.patience)
	defer timer.Stop()
	var err error
	select {
	case err = <-w.result:
		return time.Since(w.enqueued), err
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = ErrTooLate
	}
	if g.removeWaiter(w) {
		return time.Since(w.enqueued), err
	}
	// The request was admitted or refused concurrently.
	if got := <-w.result; got == nil {
		g.Release(0)
	}
	return time.Since(w.enqueued), err
}

// removeWaiter removes w from the queue and reports whether it was queued.
func (g *Gate) removeWaiter(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	g.queue.Remove(g.order.queueLevel(w.ticket), func(o *waiter) bool {
		found = found || o == w
		return o == w
	})
	return found
}

// Release frees the slot of a request. took is the time it spent at the
// target, or zero to leave the mean service time unchanged.
func (g *Gate) Release(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if took > 0 {
		g.meanServiceTime += time.Duration(float64(took-g.meanServiceTime) * smoothing)
	}
	g.admitWaiting()
}

// Close refuses all queued and all new requests with ErrLeaving until Open.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w, ok := g.queue.Pop(); ok; w, ok = g.queue.Pop() {
		w.result <- ErrLeaving
	}
}

// Open admits requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	g.closed = false
	g.mu.Unlock()
}

// Load returns the number of requests at the target and in the queue, and
// how many can be at the target by its slots and its rate limit.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{InFlight: g.inFlight, Queued: g.queue.Len(), Limit: min(g.limit, g.rate.concurrency(g.meanServiceTime))}
}

// QueuedWork returns the slot time expected for the queued requests.
func (g *Gate) QueuedWork() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.queue.Len()) * g.meanServiceTime
}

// admitWaiting admits queued requests while there are free slots and the rate
// limit allows. It refuses those that would miss their deadline, whose result
// nobody would receive.
func (g *Gate) admitWaiting() {
	for g.inFlight < g.limit && g.queue.Len() > 0 {
		now := time.Now()
		if wait := g.rate.wait(now, 1); wait > 0 {
			g.rate.wakeAfter(wait, g.admitLater)
			return
		}
		w, _ := g.queue.Pop()
		if now.Add(g.meanServiceTime / 2).After(w.ticket.Deadline) {
			w.result <- ErrTooLate
			continue
		}
		g.rate.take(now)
		g.inFlight++
		w.result <- nil
	}
}

// expectedWait estimates the queueing time of a new request from the number
// of requests ahead of it, the mean service time and the rate limit.
func (g *Gate) expectedWait(t Ticket, now time.Time) time.Duration {
	place := g.queue.Ahead(g.order.queueLevel(t)) + 1
	return max(g.slotWait(place), g.rate.wait(now, place))
}

// slotWait estimates how long the request at a place in the queue, from 1,
// waits for a slot.
func (g *Gate) slotWait(place int) time.Duration {
	if g.inFlight+place <= g.limit {
		return 0
	}
	return time.Duration(place) * g.meanServiceTime / time.Duration(g.limit)
}
