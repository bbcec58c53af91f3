package wire

import (
	"time"
)

// Keepalive detects half-open connections: if a firewall or NAT on the path
// drops a connection's state, nothing is reset and calls on it would wait until
// their deadlines. Timeouts are counted in checks instead of clock time, so that
// a pause of this process is not mistaken for silence of its peers.
const (
	// CheckInterval is the interval at which CheckKeepalive must be called.
	CheckInterval = 100 * time.Millisecond
	// SuspicionTimeout is the maximum time until a silent connection with
	// pending calls is suspected and new requests go to other instances. It
	// exceeds the delay of two consecutive packet losses on a short link
	// (600 ms) and leaves a caller with a timeout of 1 to 2 s enough time for
	// another instance.
	SuspicionTimeout = (pendingPingChecks + suspectChecks + 1) * CheckInterval
	// KeepaliveTimeout is the maximum time until a silent connection with
	// pending calls is closed. It includes the check interval in which the call
	// started.
	KeepaliveTimeout = (pendingPingChecks + closeChecks + 1) * CheckInterval
	// IdleKeepaliveTimeout is the same for a connection without pending calls.
	IdleKeepaliveTimeout = (idlePingChecks + closeChecks + 1) * CheckInterval

	pendingPingChecks = 3  // checks without a frame before a connection with pending calls is pinged
	slowPingChecks    = 15 // the same after an answered ping: the peer is alive and its target is slow
	idlePingChecks    = 50 // the same without pending calls; idle pings are most of the control traffic
	suspectChecks     = 4  // checks without a frame after a ping before the connection is suspected
	closeChecks       = 20 // checks without a frame after a ping before the connection is closed
)

// probeState is the keepalive state of a connection, counted in checks.
type probeState struct {
	sinceFrame int  // checks since the last frame
	sincePing  int  // checks since a ping was sent; 0 if none is out
	ponged     bool // the last frame came after a ping
}

// CheckKeepalive runs one keepalive check and must be called every
// CheckInterval. It pings the peer if no frame has arrived for some checks,
// marks the connection suspected if no frame follows the ping, and finally
// closes it with ErrKeepaliveTimeout.
func (c *Conn) CheckKeepalive() {
	received := c.received.Swap(false)
	c.mu.Lock()
	ping, silent := c.probe.tick(received, len(c.pending) > 0)
	c.setSuspected(!c.cfg.DisableSuspicion && c.probe.sincePing > suspectChecks)
	if ping {
		c.lastStream++
	}
	s := c.lastStream
	c.mu.Unlock()
	switch {
	case silent:
		c.closeWithError(ErrKeepaliveTimeout)
	case ping:
		// The write may block until its timeout and must not delay the
		// checks of other connections.
		go func() {
			if err := c.out.write(Frame{Kind: KindPing, Stream: s}); err != nil {
				c.closeWithError(err)
			}
		}()
	}
}

// Suspected reports whether the last ping has been unanswered for more than
// suspectChecks checks, so that the peer may be unreachable.
func (c *Conn) Suspected() bool { return c.suspected.Load() }

// setSuspected sets or clears the suspicion. Setting it ends the pending calls
// that may be sent to another instance. c.mu must be held.
func (c *Conn) setSuspected(on bool) {
	if c.suspected.Swap(on) == on || !on {
		return
	}
	for s, p := range c.pending {
		if p.endOnSuspicion {
			close(p.ch)
			delete(c.pending, s)
		}
	}
}

// tick counts one check. It reports whether to send a ping, and whether the
// connection must be closed as silent.
func (s *probeState) tick(received, pending bool) (ping, silent bool) {
	if received {
		*s = probeState{ponged: s.sincePing > 0}
		return false, false
	}
	s.sinceFrame++
	if s.sincePing > 0 {
		s.sincePing++
		return false, s.sincePing > closeChecks
	}
	limit := idlePingChecks
	switch {
	case pending && s.ponged:
		limit = slowPingChecks
	case pending:
		limit = pendingPingChecks
	}
	if s.sinceFrame < limit {
		return false, false
	}
	s.sincePing = 1
	return true, false
}
