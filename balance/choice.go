package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oatpin/oatpin/directory"
)

// sample is how many instances are weighed for one request, half of them in
// the node's own data centre where it has so many. What a node knows of an
// instance is as old as its last request there, seconds where there are many;
// the best of all by such knowledge is the same one for many nodes, and the
// best of a few is not, while two bad draws in a row stay rare.
const sample = 10

// choice is one request's choice among instances.
type choice struct {
	b       *Balancer
	ask     *Ask
	now     time.Time
	certain bool // some instance is there for certain
	explore bool

	best, avoided         *directory.Instance
	bestCost, avoidedCost float64
}

// look weighs a few instances, and all if none of those will do.
func (c *choice) look() {
	most := c.b.cfg.Weights.Sample
	if most > 0 && len(c.ask.Instances) > most {
		c.some(c.ask.Near, most/2)
		c.some(c.ask.Instances, most-most/2)
		if c.best != nil {
			return
		}
	}
	c.some(c.ask.Instances, len(c.ask.Instances))
}

// some weighs n instances from a random one on; their order is random.
func (c *choice) some(all []directory.Instance, n int) {
	if len(all) == 0 {
		return
	}
	at := rand.N(len(all))
	for range min(n, len(all)) {
		c.weigh(&all[at])
		if at++; at == len(all) {
			at = 0
		}
	}
}

func (c *choice) weigh(in *directory.Instance) {
	if in.Leaving || (c.certain && in.Doubtful) || slices.Contains(c.ask.Tried, in.ID) {
		return
	}
	b := c.b
	s := b.state(in.Start())
	cost := b.cost(in, s, c.now) + b.tightness(c.ask, s, c.now)
	if c.now.Before(s.avoidUntil) {
		if c.avoided == nil || cost < c.avoidedCost {
			c.avoided, c.avoidedCost = in, cost
		}
		return
	}
	if c.explore && b.failing(s) < sound && s.used(in) < roomy {
		cost = rand.Float64() - exploreFirst
	}
	if c.best == nil || cost < c.bestCost {
		c.best, c.bestCost = in, cost
	}
}
