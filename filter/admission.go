package filter

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// sheddableShare is the fraction of slots that sheddable calls may
	// occupy.
	sheddableShare = 0.8
	// MinRetryAfter is the shortest retry-after a refusal carries.
	MinRetryAfter = 50 * time.Millisecond
)

// Admission limits the concurrent calls to the local target to its number of
// slots. Sheddable calls are refused once sheddableShare of the slots are
// busy, critical calls only when all are, so no critical call is refused
// while a sheddable one would be admitted. It is safe for concurrent use.
type Admission struct {
	mu             sync.Mutex
	slots          int
	inFlight       int
	avgServiceTime time.Duration // moving average of the time a call spends in the target
}

// NewAdmission returns an Admission for a target with the given number of
// slots.
func NewAdmission(slots int) *Admission { return &Admission{slots: slots} }

// SetSlots changes the concurrency limit, for instance when a new
// configuration is applied.
func (a *Admission) SetSlots(n int) {
	a.mu.Lock()
	a.slots = n
	a.mu.Unlock()
}

// InFlight returns the number of calls in progress at the target.
func (a *Admission) InFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight
}

// Filter returns the admission filter.
func (a *Admission) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			retryAfter, ok := a.admit(c.Op.Class)
			if !ok {
				return call.Refuse(*c.Request, "target at capacity for "+string(c.Op.Class)+" calls", retryAfter)
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
	if a.inFlight >= limit {
		return max(MinRetryAfter, 2*a.avgServiceTime), false
	}
	a.inFlight++
	return 0, true
}

func (a *Admission) release(elapsed time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight--
	a.avgServiceTime += (elapsed - a.avgServiceTime) / 8
}
