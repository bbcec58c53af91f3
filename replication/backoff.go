package replication

import "time"

const (
	// minPeerBackoff and maxPeerBackoff bound how long a node whose poll failed is
	// skipped. The backoff doubles with each failure. A restart takes 2 s, a
	// partition several.
	minPeerBackoff = 2 * time.Second
	maxPeerBackoff = 8 * time.Second
)

// peerBackoffs holds the nodes whose latest poll failed.
type peerBackoffs map[Addr]peerBackoff

type peerBackoff struct {
	until time.Time
	next  time.Duration
}

func (p peerBackoffs) blocked(a Addr, now time.Time) bool { return now.Before(p[a].until) }

// recordFailure extends the backoff of a and reports whether this is its first
// failure since it last answered.
func (p peerBackoffs) recordFailure(a Addr, now time.Time) bool {
	for o, b := range p {
		if now.Sub(b.until) > maxPeerBackoff {
			delete(p, o) // no longer polled, so no longer a reader
		}
	}
	d := max(p[a].next, minPeerBackoff)
	first := p[a].next == 0
	p[a] = peerBackoff{until: now.Add(d), next: min(2*d, maxPeerBackoff)}
	return first
}

func (p peerBackoffs) recordSuccess(a Addr) { delete(p, a) }
