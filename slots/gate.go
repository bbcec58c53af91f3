package slots

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
)

const (
	// smoothing is the weight of the newest service time in the mean: some
	// thirty requests, a fraction of a second at a busy target, so that a
	// target that turns slow shows within a second.
	smoothing = 1.0 / 32
	// firstService is taken as the mean service time until one is measured:
	// the middle of the services described to us (15 to 290 ms).
	firstService = 50 * time.Millisecond
)

var (
	// ErrTooLate is returned to a request that could not be done within its
	// deadline.
	ErrTooLate = eris.New("would not be done in time")
	// ErrLeaving is returned when the target takes no new requests.
	ErrLeaving = eris.New("target is leaving")
)

type (
	// Ticket is what decides a request's place.
	Ticket struct {
		Level    call.Level
		Deadline time.Time
		// Patience is how long it may wait at most; 0 for its deadline.
		Patience time.Duration
	}

	// Gate lets at most Limit requests at a time through to a target. A
	// target that is handed more than its slots may never answer what it
	// cannot queue; what waits here can still be refused as not run.
	Gate struct {
		order Order

		mu      sync.Mutex
		limit   int
		busy    int
		mean    time.Duration // service time
		waiting Levels[*waiter]
		closed  bool
	}

	waiter struct {
		t     Ticket
		since time.Time
		ready chan error // of one: nil when admitted
	}
)

// NewGate returns a Gate for a target that works on limit requests at once.
func NewGate(limit int, order Order) *Gate {
	return &Gate{order: order, limit: max(limit, 1), mean: firstService}
}

// SetLimit changes how many requests may be at the target.
func (g *Gate) SetLimit(limit int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = max(limit, 1)
	g.letIn()
}

// Enter waits until the request may go to the target, and returns how long
// it waited. The error is ErrTooLate or ErrLeaving, or ctx's; after none,
// Leave must be called.
func (g *Gate) Enter(ctx context.Context, t Ticket) (time.Duration, error) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return 0, ErrLeaving
	}
	if g.busy < g.limit && g.waiting.Len() == 0 {
		g.busy++
		g.mu.Unlock()
		return 0, nil
	}
	now := time.Now()
	expected := g.expectedWait(t)
	if now.Add(expected+g.mean).After(t.Deadline) || (t.Patience > 0 && expected > t.Patience) {
		g.mu.Unlock()
		return 0, ErrTooLate
	}
	w := &waiter{t: t, since: now, ready: make(chan error, 1)}
	g.waiting.Push(g.order.place(t), w)
	g.mu.Unlock()
	return g.wait(ctx, w)
}

func (g *Gate) wait(ctx context.Context, w *waiter) (time.Duration, error) {
	until := time.Until(w.t.Deadline)
	if w.t.Patience > 0 {
		// Calls that come later go before a new request, so its wait can be
		// longer than foreseen.
		until = min(until, w.t.Patience)
	}
	late := time.NewTimer(until)
	defer late.Stop()
	var err error
	select {
	case err = <-w.ready:
		return time.Since(w.since), err
	case <-ctx.Done():
		err = ctx.Err()
	case <-late.C:
		err = ErrTooLate
	}
	if g.forget(w) {
		return time.Since(w.since), err
	}
	// Admitted or refused in the same moment.
	if got := <-w.ready; got == nil {
		g.Leave(0)
	}
	return time.Since(w.since), err
}

// forget takes w out of the queue and reports whether it was still there.
func (g *Gate) forget(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	found := false
	g.waiting.Remove(g.order.place(w.t), func(o *waiter) bool {
		found = found || o == w
		return o == w
	})
	return found
}

// Leave gives a place back; took is how long the target had the request, or
// zero when that says nothing of its speed.
func (g *Gate) Leave(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
	if took > 0 {
		g.mean += time.Duration(float64(took-g.mean) * smoothing)
	}
	g.letIn()
}

// Close refuses all that waits and whatever comes later.
func (g *Gate) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for w, ok := g.waiting.Pop(); ok; w, ok = g.waiting.Pop() {
		w.ready <- ErrLeaving
	}
}

// Open takes requests again after Close.
func (g *Gate) Open() {
	g.mu.Lock()
	g.closed = false
	g.mu.Unlock()
}

// Load returns how busy the target is.
func (g *Gate) Load() call.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return call.Load{Busy: g.busy, Queued: g.waiting.Len(), Limit: g.limit}
}

// Waiting returns the slot time that the waiting requests will take.
func (g *Gate) Waiting() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.waiting.Len()) * g.mean
}

// letIn lets waiting requests in while there is room. One that cannot be
// done in time any more is refused: the target would work for nobody.
func (g *Gate) letIn() {
	for g.busy < g.limit {
		w, ok := g.waiting.Pop()
		if !ok {
			return
		}
		if time.Now().Add(g.mean / 2).After(w.t.Deadline) {
			w.ready <- ErrTooLate
			continue
		}
		g.busy++
		w.ready <- nil
	}
}

// expectedWait is how long a new request would wait: all that comes before
// it, served by all slots at the mean service time.
func (g *Gate) expectedWait(t Ticket) time.Duration {
	ahead := g.waiting.Ahead(g.order.place(t)) + 1
	return time.Duration(ahead) * g.mean / time.Duration(g.limit)
}
