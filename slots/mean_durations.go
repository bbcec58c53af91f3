package slots

import (
	"sync"
	"time"
)

// MeanDurations keeps the mean duration of requests by kind, such as their
// service time at a target or their end-to-end time. It is safe for concurrent
// use.
type MeanDurations struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// NewMeanDurations returns a MeanDurations without any samples.
func NewMeanDurations() *MeanDurations { return &MeanDurations{mean: map[string]time.Duration{}} }

// Record records the duration of one request.
func (md *MeanDurations) Record(kind string, d time.Duration) {
	md.mu.Lock()
	defer md.mu.Unlock()
	m, ok := md.mean[kind]
	if !ok {
		m = d
	}
	md.mean[kind] = m + time.Duration(float64(d-m)*smoothing)
}

// Mean returns the mean duration of a kind of request, or otherwise if it is
// unknown.
func (md *MeanDurations) Mean(kind string, otherwise time.Duration) time.Duration {
	md.mu.Lock()
	defer md.mu.Unlock()
	if m, ok := md.mean[kind]; ok {
		return m
	}
	return otherwise
}
