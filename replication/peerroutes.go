package replication

import (
	"time"

	"github.com/oatpin/oatpin/directory"
)

// peerRoutes tells whether the nodes that are polled are known to hold no newer
// routes. A node of the former version does not state which it holds, and its
// answers may leave out a version although they cover its revision. Everything that
// it knows includes its routes.
type peerRoutes struct {
	unstated bool      // the latest answer did not state a version
	knownAt  time.Time // when an answer last stated one or was complete
}

func (p *peerRoutes) record(x directory.Delta, now time.Time) {
	p.unstated = x.RoutesVersion == 0
	if !p.unstated || x.After == 0 {
		p.knownAt = now
	}
}

func (p *peerRoutes) unknown(now time.Time) bool {
	return p.unstated && now.Sub(p.knownAt) >= wholeStateInterval
}
