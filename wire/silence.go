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
	CheckEvery = 100 * time.Millisecond
	// SuspectBound is how long a silent connection with a call waiting on it
	// can go before it is under suspicion: requests go elsewhere from then on.
	// Longer than two losses of a packet in a row on a short link (600 ms);
	// against a caller's second or two it leaves time for another instance.
	SuspectBound = (busyChecks + suspectChecks + 1) * CheckEvery
	// SilenceBound is how long such a connection stays open at most:
	// busyChecks and pingChecks, and one check in which the call came.
	SilenceBound = (busyChecks + pingChecks + 1) * CheckEvery
	// IdleSilenceBound is the same for a connection without calls.
	IdleSilenceBound = (idleChecks + pingChecks + 1) * CheckEvery

	busyChecks    = 3  // checks without a frame before a connection with calls waiting is pinged
	slowChecks    = 15 // the same after a ping that was answered: the peer lives, its target is slow
	idleChecks    = 50 // the same for one without calls; idle pings are most of the control traffic
	suspectChecks = 4  // checks without a frame after a ping before the connection is suspected
	pingChecks    = 20 // the same before it is closed
)

// silence counts the checks in which a connection delivered nothing.
type silence struct {
	checks   int
	pinged   int  // checks since a ping was sent; 0 if none is out
	answered bool // the last frame came after a ping
}

// Check looks for silence on the connection; call it once every CheckEvery.
// It pings a connection that delivers nothing, puts one under suspicion whose
// peer does not answer the ping soon, and closes it with ErrSilent when none
// comes at all.
func (c *Conn) Check() {
	heard := c.heard.Swap(false)
	c.mu.Lock()
	ping, silent := c.silence.next(heard, len(c.pending) > 0)
	c.suspect(!c.cfg.Trusting && c.silence.pinged > suspectChecks)
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

// Suspect reports whether the peer has not answered a ping for a while: it,
// or the way to it, may be gone.
func (c *Conn) Suspect() bool { return c.suspected.Load() }

// suspect puts the connection under suspicion or takes it off; calls that may
// be made elsewhere are ended then. c.mu is held.
func (c *Conn) suspect(on bool) {
	if c.suspected.Swap(on) == on || !on {
		return
	}
	for s, w := range c.pending {
		if w.yields {
			close(w.ch)
			delete(c.pending, s)
		}
	}
}

// next counts one check and says whether to ping now, or that the
// connection is silent.
func (s *silence) next(heard, busy bool) (ping, silent bool) {
	if heard {
		*s = silence{answered: s.pinged > 0}
		return false, false
	}
	s.checks++
	if s.pinged > 0 {
		s.pinged++
		return false, s.pinged > pingChecks
	}
	limit := idleChecks
	switch {
	case busy && s.answered:
		limit = slowChecks
	case busy:
		limit = busyChecks
	}
	if s.checks < limit {
		return false, false
	}
	s.pinged = 1
	return true, false
}
