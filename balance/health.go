package balance

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of the newest outcome in an instance's means.
	smoothing = 1.0 / 16
	// failureHalfLife is the time after which an instance's failure rate
	// counts half. It then gets requests again that show whether it has
	// recovered.
	failureHalfLife = 2 * time.Second
)

// Health tracks the failure rate of an instance and the time of its last
// failure. It is safe for concurrent use; the zero value has no failures.
type Health struct {
	mu          sync.Mutex
	failureRate float64 // 0 to 1
	lastFailure time.Time
}

// Record records the outcome of one request.
func (h *Health) Record(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	outcome := 0.0
	if failed {
		outcome = 1
		h.lastFailure = time.Now()
	}
	h.failureRate += (outcome - h.failureRate) * smoothing
}

// Reset discards all outcomes, for an instance that has been replaced.
func (h *Health) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failureRate, h.lastFailure = 0, time.Time{}
}

// FailureRate returns the failure rate, from 0 to 1, decayed by the time since
// the last failure.
func (h *Health) FailureRate() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return decayed(h.failureRate, h.lastFailure)
}

// decayed returns a value decayed by the time since at.
func decayed(value float64, at time.Time) float64 {
	if value == 0 {
		return 0
	}
	return value / (1 + float64(time.Since(at))/float64(failureHalfLife))
}
