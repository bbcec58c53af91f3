package sidecar

import (
	"sync"
	"time"
)

// latestDeadline is the latest deadline of a set of requests. It is safe for
// concurrent use.
type latestDeadline struct {
	mu sync.Mutex
	at time.Time
}

// record adds the deadline of a request.
func (l *latestDeadline) record(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.at) {
		l.at = at
	}
}

// latest returns the latest deadline, or least if that is later.
func (l *latestDeadline) latest(least time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.After(least) {
		return l.at
	}
	return least
}
