package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oatpin/oatpin/directory"
)

// sampleSize is how many instances are considered for a request, half of them
// in the node's own data centre if there are enough. Load data is stale where
// there are many instances, so considering all would make many nodes pick the
// same one; a random sample avoids this herding. Among this many, two bad
// samples in a row are rare.
const sampleSize = 10

// selection is the state of picking an instance for one request.
type selection struct {
	b         *Balancer
	req       *PickRequest
	now       time.Time
	confirmed bool // an instance neither leaving nor unconfirmed exists
	explore   bool // prefer a random healthy instance
	probe     bool // prefer an instance that is due for a probe

	best, avoided         *directory.Instance // lowest-cost instances not in backoff and in backoff
	bestCost, avoidedCost float64
	due                   *directory.Instance // lowest-cost instance that is due for a probe
	dueCost               float64
}

// choose returns the instance to send the request to, nil if there is none.
func (sel *selection) choose() *directory.Instance {
	switch {
	case sel.due != nil && sel.dueCost < sel.bestCost:
		return sel.due
	case sel.best != nil:
		return sel.best
	}
	return sel.avoided
}

// run considers a sample of the instances, or all if none of the sample is
// suitable.
func (sel *selection) run() {
	size := sel.b.cfg.Weights.SampleSize
	if size > 0 && len(sel.req.Instances) > size {
		sel.considerSome(sel.req.SameDC, size/2)
		sel.considerSome(sel.req.Instances, size-size/2)
		if sel.best != nil {
			return
		}
	}
	sel.considerSome(sel.req.Instances, len(sel.req.Instances))
}

// considerSome considers n consecutive instances from a random position. It
// assumes that the order of all is random.
func (sel *selection) considerSome(all []directory.Instance, n int) {
	if len(all) == 0 {
		return
	}
	i := rand.N(len(all))
	for range min(n, len(all)) {
		sel.consider(&all[i])
		if i++; i == len(all) {
			i = 0
		}
	}
}

func (sel *selection) consider(in *directory.Instance) {
	if in.Leaving || (sel.confirmed && in.Unconfirmed) || slices.Contains(sel.req.Tried, in.ID) {
		return
	}
	b := sel.b
	s := b.state(in.Incarnation())
	cost := b.cost(in, s, sel.now) + b.deadlineRisk(sel.req, s, sel.now)
	if sel.now.Before(s.avoidUntil) {
		cost += rateWaitCost * max(s.rateFreeAt.Sub(sel.now), 0).Seconds()
		if sel.avoided == nil || cost < sel.avoidedCost {
			sel.avoided, sel.avoidedCost = in, cost
		}
		return
	}
	sel.considerProbe(in, s)
	if sel.explore && b.failureRate(s) < maxExploreFailureRate && s.utilization(in, sel.now) < maxExploreUtilization {
		cost = rand.Float64() - exploreDiscount
	}
	if sel.best == nil || cost < sel.bestCost {
		sel.best, sel.bestCost = in, cost
	}
}
