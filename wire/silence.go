package wire

import (
	"time"
)

// A connection can go silent for good while new ones work: a box in between
// has lost track of it, nothing is reset, and calls on it wait out their
// deadlines. Only a question of our own shows it. Silence is counted in
// checks, not in clock time: a process that was paused runs no checks, so it
// does not take its own pause for its peers' silence.
const (
	// CheckEvery is how often Check is to be called.
	CheckEvery = 500 * time.Millisecond
	// SilenceBound is how long a silent connection with a call waiting on it
	// stays open at most: busyChecks and pingChecks, and one check in which
	// the call came.
	SilenceBound = (busyChecks + pingChecks + 1) * CheckEvery
	// IdleSilenceBound is the same for a connection without calls.
	IdleSilenceBound = (idleChecks + pingChecks + 1) * CheckEvery

	busyChecks = 2  // checks without a frame before a connection with calls waiting is pinged
	idleChecks = 10 // the same for one without; idle pings are most of the control traffic
	pingChecks = 2  // checks without a frame after a ping before the connection is closed
)

// silence counts the checks in which a connection delivered nothing.
type silence struct {
	checks int
	pinged int // checks since a ping was sent; 0 if none is out
}

// Check looks for silence on the connection; call it once every CheckEvery.
// It pings a connection that delivers nothing and closes one whose peer does
// not answer the ping, with ErrSilent.
func (c *Conn) Check() {
	heard := c.heard.Swap(false)
	c.mu.Lock()
	ping, silent := c.silence.next(heard, len(c.pending) > 0)
	if ping {
		c.next++
	}
	s := c.next
	c.mu.Unlock()
	switch {
	case silent:
		c.fail(ErrSilent)
	case ping:
		// A write may block until its timeout; the other connections'
		// checks must not wait for it.
		go func() {
			if err := c.out.write(Frame{Kind: KindPing, Stream: s}); err != nil {
				c.fail(err)
			}
		}()
	}
}

// next counts one check and says whether to ping now, or that the
// connection is silent.
func (s *silence) next(heard, busy bool) (ping, silent bool) {
	if heard {
		*s = silence{}
		return false, false
	}
	s.checks++
	if s.pinged > 0 {
		s.pinged++
		return false, s.pinged > pingChecks
	}
	limit := idleChecks
	if busy {
		limit = busyChecks
	}
	if s.checks < limit {
		return false, false
	}
	s.pinged = 1
	return true, false
}
