package slots

import (
	"sync"
	"time"
)

// ServiceTimes keeps the mean duration of requests by kind, such as their
// service time at a target or their end-to-end time. It is safe for concurrent
// use.
type ServiceTimes struct {
	mu   sync.Mutex
	mean map[string]time.Duration
}

// NewServiceTimes returns a ServiceTimes without any samples.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{mean: map[string]time.Duration{}} }

// Record records the duration of one request.
func (s *ServiceTimes) Record(kind string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.mean[kind]
	if !ok {
		m = d
	}
	s.mean[kind] = m + time.Duration(float64(d-m)*smoothing)
}

// Mean returns the mean duration of a kind of request, or otherwise if it is
// unknown.
func (s *ServiceTimes) Mean(kind string, otherwise time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.mean[kind]; ok {
		return m
	}
	return otherwise
}
