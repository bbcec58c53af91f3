package sidecar

import (
	"sync"

	"github.com/oatpin/oatpin/memory"
)

// sizeSmoothing is the weight, as a divisor, of one answer in the mean size.
const sizeSmoothing = 16

// answerSizes holds the mean size of each route's answers. It is safe for concurrent
// use.
type answerSizes struct {
	mu   sync.Mutex
	mean map[string]int64 // bytes, by route
}

// large returns the mean size in bytes of a route's answers; 0 if they are small.
func (s *answerSizes) large(route string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mean := s.mean[route]; mean > memory.SmallBody {
		return mean
	}
	return 0
}

// record takes note of the size of an answer.
func (s *answerSizes) record(route string, size int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, known := s.mean[route]
	switch {
	case s.mean == nil:
		s.mean = map[string]int64{route: size}
	case !known:
		s.mean[route] = size
	default:
		s.mean[route] = mean + (size-mean)/sizeSmoothing
	}
}
