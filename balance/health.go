package balance

import (
	"sync"
	"time"
)

const (
	// smoothing is the weight of the newest outcome in an instance's means.
	smoothing = 1.0 / 16
	// forget is the time after which an instance's failures count half: it
	// then gets requests again that show whether it has mended.
	forget = 2 * time.Second
)

// Health is the part of an instance's latest requests that failed, and when
// one last did. It is safe for concurrent use; the zero value knows of none.
type Health struct {
	mu      sync.Mutex
	failing float64 // 0 to 1
	at      time.Time
}

// Note counts one request that ended.
func (h *Health) Note(failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bad := 0.0
	if failed {
		bad = 1
		h.at = time.Now()
	}
	h.failing += (bad - h.failing) * smoothing
}

// Reset forgets all requests: the instance they went to is no more.
func (h *Health) Reset() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failing, h.at = 0, time.Time{}
}

// Failing returns the part that fails, less the longer ago the last failure
// is.
func (h *Health) Failing() float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return faded(h.failing, h.at)
}

// faded is what a part that failed at a time counts now.
func faded(failing float64, at time.Time) float64 {
	if failing == 0 {
		return 0
	}
	return failing / (1 + float64(time.Since(at))/float64(forget))
}
