package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// costSmoothing is the weight of the newest request in a route's mean cost,
	// low enough that one long request does not change it much. It averages some
	// sixty requests, a second or two of a busy node.
	costSmoothing = 1.0 / 64
	// minWeight is the smallest fraction of a rank's levels used for a
	// route. It bounds the advantage of cheap routes: the most expensive
	// route is admitted at no less than a quarter of the rate of any other
	// in its rank.
	minWeight = 0.25
)

// RouteCosts keeps the mean slot time that a request on each route,
// including its calls, takes at overloaded targets. Under overload, requests
// are admitted in inverse proportion to that cost, since the same slot time
// completes more of the cheap ones: the levels of a cheaper route are drawn
// from only the lower levels of the rank. It is safe for concurrent use.
type RouteCosts struct {
	mu     sync.Mutex
	routes map[string]*routeCost
}

// LevelAssigner assigns levels to new requests.
type LevelAssigner interface {
	Level(k RequestInfo, id call.RequestID) call.Level
}

// RequestInfo describes a new request for assigning its level.
type RequestInfo struct {
	Route    string
	Priority int // of the route; costs are compared among routes of equal priority
	Rank     int // of the request
}

// UniformLevels assigns levels without regard to the cost of routes.
type UniformLevels struct{}

// Level implements LevelAssigner.
func (UniformLevels) Level(info RequestInfo, id call.RequestID) call.Level {
	return LevelOf(info.Rank, id)
}

type routeCost struct {
	rank     int
	slotTime time.Duration // mean per request, including its calls
}

// NewRouteCosts returns a RouteCosts without any known route.
func NewRouteCosts() *RouteCosts { return &RouteCosts{routes: map[string]*routeCost{}} }

// Record records the slot time that a request on a route, including its calls,
// took at overloaded targets.
func (c *RouteCosts) Record(route string, priority int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rc := c.routes[route]
	if rc == nil {
		rc = &routeCost{slotTime: d}
		c.routes[route] = rc
	}
	rc.rank = rank(priority)
	rc.slotTime += time.Duration(float64(d-rc.slotTime) * costSmoothing)
}

// Mean returns the mean slot time of a route's requests, or 0 if unknown.
func (c *RouteCosts) Mean(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if rc := c.routes[route]; rc != nil {
		return rc.slotTime
	}
	return 0
}

// Level returns the level of a new request. All calls of the request inherit
// it, so that a request is refused at its entry rather than after some of
// its calls have run.
func (c *RouteCosts) Level(info RequestInfo, id call.RequestID) call.Level {
	return levelOf(info.Rank, id, c.weight(info.Route, rank(info.Priority)))
}

// weight returns the fraction of the rank's levels to use for a route: its
// cost relative to the most expensive route of the rank.
func (c *RouteCosts) weight(route string, rank int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	rc := c.routes[route]
	if rc == nil {
		return 1
	}
	highest := rc.slotTime
	for _, other := range c.routes {
		if other.rank == rank {
			highest = max(highest, other.slotTime)
		}
	}
	if highest == 0 {
		return 1
	}
	return max(float64(rc.slotTime)/float64(highest), minWeight)
}
