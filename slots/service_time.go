package slots

import (
	"sync"
	"time"
)

// Work keeps the mean service time by kind of request. It is safe for
// concurrent use.
type Work struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// NewWork returns a Work without any samples.
func NewWork() *Work { return &Work{mean: map[string]time.Duration{}} }

// Took records the service time of one request.
func (w *Work) Took(kind string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.mean[kind]
	if !ok {
		m = d
	}
	w.mean[kind] = m + time.Duration(float64(d-m)*smoothing)
}

// Mean returns the mean service time of a kind, or the given default if it
// is unknown.
func (w *Work) Mean(kind string, otherwise time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m, ok := w.mean[kind]; ok {
		return m
	}
	return otherwise
}
