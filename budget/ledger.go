package budget

import (
	"sync"
)

// Hop names one invocation of a request at one node; the node hands it to
// its target, and the target's outbound calls carry it back.
type Hop string

// Ledger holds the retries left for each hop in flight.
//
// A hop's budget is leased whole to one outbound call at a time and the
// unspent part given back when the call returns; a call made while the
// budget is out gets none. So concurrent calls of one hop cannot spend the
// same retry twice, and the sum over a request's tree never exceeds what
// the first node was given.
type Ledger struct {
	mu   sync.Mutex
	hops map[Hop]int
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{hops: map[Hop]int{}} }

// Open starts a hop with n retries.
func (l *Ledger) Open(h Hop, n int) {
	l.mu.Lock()
	l.hops[h] = n
	l.mu.Unlock()
}

// Lease takes the whole budget of h, leaving none until Return; a hop that
// is not open has none.
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

// Close ends h and returns the retries it had left.
func (l *Ledger) Close(h Hop) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.hops[h]
	delete(l.hops, h)
	return n
}
