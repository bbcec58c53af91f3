package budget

import (
	"sync"
)

// Hop identifies one invocation of a request at one node. The node passes it
// to its target, whose outbound calls carry it back.
type Hop string

// Ledger holds the remaining retries of each hop in flight. The whole budget
// of a hop is leased to one outbound call at a time, and the unspent part is
// returned when the call ends; calls made meanwhile get none. So concurrent
// calls cannot spend the same retry twice, and the sum over a request's call
// tree never exceeds the initial budget. It is safe for concurrent use.
type Ledger struct {
	mu   sync.Mutex
	hops map[Hop]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{hops: map[Hop]int{}} }

// Open registers a hop with n retries.
func (l *Ledger) Open(h Hop, n int) {
	l.mu.Lock()
	l.hops[h] = n
	l.mu.Unlock()
}

// Lease takes the whole budget of h, leaving none until Return. It returns 0
// if h is not open.
func (l *Ledger) Lease(h Hop) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.hops[h]
	if _, ok := l.hops[h]; ok {
		l.hops[h] = 0
	}
	return n
}

// Return gives back the unspent part of a lease.
func (l *Ledger) Return(h Hop, unspent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.hops[h]; ok {
		l.hops[h] += unspent
	}
}

// Close removes h and returns its remaining retries.
func (l *Ledger) Close(h Hop) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.hops[h]
	delete(l.hops, h)
	return n
}
