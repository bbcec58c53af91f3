package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// costSmoothing is the weight of the newest request in a route's cost:
	// some sixty requests, a second or two of a busy node, so that one long
	// request does not move its whole kind.
	costSmoothing = 1.0 / 64
	// leastWeight is the least part of the parts that a cheap route's
	// requests are drawn from. Whatever is cheaper than a quarter of the
	// dearest gains nothing more, and the dearest kind keeps a part of
	// whatever room there is: a route with four times the cost is admitted a
	// fourth as often, never not at all.
	leastWeight = 0.25
)

// Costs keeps what a whole request on each route takes of the targets that
// are short of room, its calls included. Under overload the same slot time
// finishes two requests of one kind or five of another; served in proportion
// to what they ask, the kind with one short call loses as much as the one
// whose calls filled the target. With the parts of a cheaper route drawn from
// the lower ones only, each kind is admitted in inverse proportion to its
// cost. It is safe for concurrent use.
type Costs struct {
	mu     sync.Mutex
	routes map[string]*cost
}

// Levels gives new requests their levels.
type Levels interface {
	Level(k Kind, id call.RequestID) call.Level
}

// Kind is what is known of a new request's rank.
type Kind struct {
	Route    string
	Priority int // of the route; routes of the same are weighed by their cost
	Rank     int // of the request
}

// Even draws the levels of all routes alike.
type Even struct{}

// Level implements Levels.
func (Even) Level(k Kind, id call.RequestID) call.Level { return LevelOf(k.Rank, id) }

type cost struct {
	rank  int
	taken time.Duration // mean slot time of a whole request
}

// NewCosts returns a Costs that knows no route.
func NewCosts() *Costs { return &Costs{routes: map[string]*cost{}} }

// Took notes that a whole request on a route took so much slot time of
// targets that are short of room.
func (c *Costs) Took(route string, priority int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.routes[route]
	if k == nil {
		k = &cost{taken: d}
		c.routes[route] = k
	}
	k.rank = rank(priority)
	k.taken += time.Duration(float64(d-k.taken) * costSmoothing)
}

// Mean returns the mean slot time of a route's requests, 0 if not known.
func (c *Costs) Mean(route string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if k := c.routes[route]; k != nil {
		return k.taken
	}
	return 0
}

// Level returns the level of a new request. All of its calls have it too, so
// a request that one target would refuse is refused as a whole and not after
// half its calls.
func (c *Costs) Level(k Kind, id call.RequestID) call.Level {
	return levelOf(k.Rank, id, c.weight(k.Route, rank(k.Priority)))
}

// weight is the part of the parts that a route's requests are drawn from:
// its cost against the dearest of its rank.
func (c *Costs) weight(route string, rank int) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.routes[route]
	if k == nil {
		return 1
	}
	dearest := k.taken
	for _, o := range c.routes {
		if o.rank == rank {
			dearest = max(dearest, o.taken)
		}
	}
	if dearest == 0 {
		return 1
	}
	return max(float64(k.taken)/float64(dearest), leastWeight)
}
