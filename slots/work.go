package slots

import (
	"sync"
	"time"
)

// Work keeps the mean time that requests take, by kind of request. It is
// safe for concurrent use.
type Work struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// NewWork returns a Work that knows no kind yet.
func NewWork() *Work { return &Work{mean: map[string]time.Duration{}} }

// Took notes how long one request took.
func (w *Work) Took(kind string, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m, ok := w.mean[kind]
	if !ok {
		m = d
	}
	w.mean[kind] = m + time.Duration(float64(d-m)*smoothing)
}

// Mean returns the mean time of a kind, or otherwise when it is not known.
func (w *Work) Mean(kind string, otherwise time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m, ok := w.mean[kind]; ok {
		return m
	}
	return otherwise
}
