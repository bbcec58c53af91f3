package filter

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// sheddableShare is the share of slots that sheddable calls may fill.
	sheddableShare = 0.8
	// MinRetryAfter is the least come-back time a refusal names.
	MinRetryAfter = 50 * time.Millisecond
)

// Admission caps the calls in flight to the local target at its slots. A
// sheddable call is refused once sheddableShare of the slots are busy, a
// critical one only when all are: so no critical call is refused while a
// sheddable one would still be let in.
type Admission struct {
	mu       sync.Mutex
	slots    int
	inflight int
	service  time.Duration // moving average of time in the target
}

// NewAdmission returns an Admission for a target with the given slots.
func NewAdmission(slots int) *Admission { return &Admission{slots: slots} }

// SetSlots changes the cap, as when a new text is put in force.
func (a *Admission) SetSlots(n int) {
	a.mu.Lock()
	a.slots = n
	a.mu.Unlock()
}

// InFlight returns the calls now in the target.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inflight
}

// Filter returns the admission step of the chain.
func (a *Admission) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			after, ok := a.admit(c.Op.Class)
			if !ok {
				return call.Refuse(*c.Request, "target at capacity for "+string(c.Op.Class)+" calls", after)
			}
			start := time.Now()
			defer func() { a.release(time.Since(start)) }()
			return next.Serve(ctx, c)
		})
	}
}

func (a *Admission) admit(class call.Class) (time.Duration, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.slots
	if class == call.Sheddable {
		limit = max(1, int(float64(a.slots)*sheddableShare))
	}
	if a.inflight >= limit {
		return max(MinRetryAfter, 2*a.service), false
	}
	a.inflight++
	return 0, true
}

func (a *Admission) release(took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inflight--
	a.service += (took - a.service) / 8
}
