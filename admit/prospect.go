package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// hopeless is the part of a route's requests that must succeed for it to
	// be worth running all of them: below, seven of eight run in part, for
	// nothing, and an action that failed after it ran is lost for its caller,
	// where one that was refused at once may come back.
	hopeless = 1.0 / 8
	// probeParts of Parts are let through all the same: they show that the
	// cause is gone within some tenths of a second on a busy route.
	probeParts = Parts / 4
	// prospectSmoothing is the weight of the newest outcome: some sixteen
	// requests show it, half a second of a busy route on one node.
	prospectSmoothing = 1.0 / 16
	// prospectKept is how long an outcome counts when no other follows.
	prospectKept = 2 * time.Second
)

// Prospects keeps, for each route, the part of the requests let in that
// succeeded. A request that needs eight calls of a service whose instances
// each refuse half has one chance in 250, whatever room there is: what a
// threshold for load lets in fails there by the thousand. It is safe for
// concurrent use.
type Prospects struct {
	next Admission

	mu     sync.Mutex
	routes map[string]prospect
}

// prospect is a route's part of success and when it was last noted.
type prospect struct {
	rank int // the highest of its requests; probes are of that one
	part float64
	at   time.Time
}

// old reports whether nothing is known any more; nothing was of the zero value.
func (r prospect) old(now time.Time) bool { return now.Sub(r.at) > prospectKept }

// NewProspects returns a Prospects that knows no route, in front of next.
func NewProspects(next Admission) *Prospects {
	return &Prospects{next: next, routes: map[string]prospect{}}
}

// Ended notes how a request on a route ended that was let in and ran.
func (p *Prospects) Ended(route string, priority int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	r := p.routes[route]
	if r.old(now) {
		r.part, r.rank = 1, maxRank
	}
	part := 0.0
	if ok {
		part = 1
	}
	r.part += (part - r.part) * prospectSmoothing
	r.rank, r.at = min(r.rank, rank(priority)), now
	p.routes[route] = r
}

// Threshold implements Admission: of a route without prospects only the first
// parts are admitted, as probes.
func (p *Prospects) Threshold(route string) call.Level {
	up := p.next.Threshold(route)
	p.mu.Lock()
	r := p.routes[route]
	p.mu.Unlock()
	if r.old(time.Now()) || r.part >= hopeless {
		return up
	}
	return min(up, call.Level(r.rank*Parts+probeParts-1))
}
