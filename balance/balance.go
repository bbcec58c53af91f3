package balance

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// remoteDCCost is the cost of an instance in another data centre. All
	// costs are in units of utilization: 1 is all slots in use. Traffic
	// between data centres is expensive, so local instances are filled
	// first, but not to the point where requests queue.
	remoteDCCost = 0.35
	// failureCost is the cost of an instance whose requests all fail. At a
	// failure rate of one half it outweighs an idle instance in another data
	// centre.
	failureCost = 3.0
	// slowdownCost is the cost of an instance per unit of relative latency
	// above the mean, bounded by maxSlowdownCost. Instances of a service
	// commonly differ by a factor of two to three; a higher cost would leave
	// the slow ones idle while requests queue at the fast ones.
	slowdownCost    = 0.2
	maxSlowdownCost = 2.0
	// deadlineRiskCost is the additional cost of a slow instance for a
	// non-idempotent request, multiplied by the fraction of the request's time
	// limit that its route usually takes. Such a request cannot be retried
	// elsewhere after a timeout. One that usually takes a third of its limit goes
	// to another data centre once it takes two fifths longer here.
	deadlineRiskCost = 3.0
	// exploreOneIn is the reciprocal of the fraction of requests that may be sent
	// to another than the best instance: non-idempotent ones to any healthy
	// instance, others to one without a recent outcome. Latency is only known
	// relative to other instances, so a node whose local instance is slow must
	// also try others.
	exploreOneIn = 32
	// maxExploreFailureRate is the highest failure rate at which an instance
	// is explored.
	maxExploreFailureRate = 0.05
	// maxExploreUtilization is the highest utilization at which an instance
	// is explored.
	maxExploreUtilization = 0.8
	// exploreDiscount is subtracted from the cost of explored instances, so
	// that they come before all others.
	exploreDiscount = 10.0
	// slowdownHalfLife is the time after which an instance's relative
	// latency counts half if no new request updates it.
	slowdownHalfLife = 4 * time.Second
	// routeSlowdownHalfLife is the same for the relative latency on a single
	// route, which is updated less often.
	routeSlowdownHalfLife = 20 * time.Second
	// jitter is the range of the random cost that makes nodes with the same
	// data choose differently.
	jitter = 0.08
	// routeMeanSmoothing is the weight of the newest request in the mean
	// latency of a route, which should vary less than that of any instance.
	routeMeanSmoothing = 1.0 / 128
	// maxRatio bounds the relative latency of a single request, to limit the
	// effect of outliers. About one request in a hundred takes five times as long
	// as usual by itself.
	maxRatio = 6.0
	// coldFactor multiplies the utilization of an instance that is still warming
	// up and takes about twice as long for the same work.
	coldFactor = 2.0
	// unreachableBackoff is how long an instance is avoided after its node
	// could not be reached.
	unreachableBackoff = time.Second
	// leavingBackoff is how long an instance is avoided after it reported that it
	// is leaving. It is finite because the node may only be restarting. A stopping
	// node refuses requests of other nodes in its last second, and is back within
	// one more.
	leavingBackoff = 2 * time.Second
)

type (
	// Weights are the costs of an instance's properties in addition to its
	// utilization, in units of utilization. A zero weight disables the
	// property.
	Weights struct {
		RemoteDC       float64 // for an instance in another data centre
		FailureRate    float64 // for an instance whose requests all fail
		ReportedHealth float64 // factor of the failure rate and slowdown reported by the instance's node, 0 to 1
		Latency        float64 // per unit of relative latency above the mean
		ShortDeadline  float64 // the same for a non-idempotent request, multiplied by the fraction of its time limit that its route takes
		ExploreOneIn   int     // one in ExploreOneIn requests explores: a non-idempotent one any healthy instance, others one without a recent outcome; 0 for none
		SampleSize     int     // number of instances considered per request; 0 for all
	}

	// Config configures a Balancer.
	Config struct {
		DC      callgraph.DC // of the node
		Weights Weights
	}

	// Balancer chooses instances for requests from the load, latency and
	// failures observed and reported for each of them. It is safe for
	// concurrent use.
	Balancer struct {
		cfg Config

		mu          sync.Mutex
		meanByRoute map[string]time.Duration // mean latency by route
		states      map[directory.Incarnation]*instanceState
	}

	// PickRequest describes a request to be sent to one of several instances.
	PickRequest struct {
		Route     string
		Instances []directory.Instance
		SameDC    []directory.Instance   // instances in the node's own data centre; optional
		Tried     []directory.InstanceID // instances not to be picked
		// NonIdempotent means that the request must not be retried if it may
		// have run.
		NonIdempotent bool
		TimeLimit     time.Duration // time limit; only used with NonIdempotent
	}

	// Choice is an instance chosen for a request.
	Choice struct {
		directory.Instance
		// LastResort is set if the instance is to be avoided, but no other one
		// is left.
		LastResort bool
		RateLimit  float64 // that the instance last stated, in requests per second; 0 for none
		// RateLimitUpAt is Outcome.UpAt of the answer with RateLimit.
		RateLimitUpAt call.UnixMilli
	}

	// Outcome is the result of one request to an instance.
	Outcome struct {
		Route       string
		Latency     time.Duration  // time from sending to the response; 0 to leave the latency unchanged
		Failed      bool           // the request ran and failed, or no response was received
		Refused     bool           // the instance itself refused to run the request
		NotRun      bool           // the request was not run, for whatever reason
		Unreachable bool           // the instance's node could not be reached
		Leaving     bool           // the instance or its node accepts no new requests
		Load        *call.Load     // reported with the response; may be nil
		RateLimit   float64        // stated by the instance, in requests per second; known if Load is set
		UpAt        call.UnixMilli // when the run was up that stated RateLimit; 0 if not known
		// RateWait is set if the request was not run because of the instance's
		// rate limit: the time until the next one is expected to be admitted.
		RateWait time.Duration
	}

	instanceState struct {
		outstanding         int
		load                call.Load
		outstandingAtLoad   int // value of outstanding when load was reported
		latency             relativeLatency
		latencyByRoute      map[string]relativeLatency
		health              Health  // as observed by this node
		reportedFailureRate float64 // failure rate reported by the instance's node
		reportedSlowdown    float64 // relative latency above normal reported by the instance's node
		reportedAt          time.Time
		avoidUntil          time.Time
		rateLimit           float64        // that the instance last stated; 0 for none
		rateLimitUpAt       call.UnixMilli // when the run was up that stated rateLimit
		rateRefusals        int            // in a row, because of the rate limit
		rateFreeAt          time.Time      // when the rate limit was expected to admit the next request
		lastOutcome         time.Time
		probeAfter          time.Duration // since lastOutcome; 0 for probeInterval
	}
)

// DefaultWeights returns the default weights.
func DefaultWeights() Weights {
	return Weights{RemoteDC: remoteDCCost, FailureRate: failureCost, ReportedHealth: 1, Latency: slowdownCost, ShortDeadline: deadlineRiskCost, ExploreOneIn: exploreOneIn, SampleSize: sampleSize}
}

// New returns a Balancer without any data on instances.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, meanByRoute: map[string]time.Duration{}, states: map[directory.Incarnation]*instanceState{}}
}

// Pick chooses an instance for a request and counts the request as
// outstanding there until Done is called. ok is false if there is no
// candidate.
func (b *Balancer) Pick(req PickRequest) (c Choice, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sel := selection{b: b, req: &req, now: time.Now(), confirmed: anyConfirmed(req.Instances)}
	if b.cfg.Weights.ExploreOneIn > 0 && rand.N(b.cfg.Weights.ExploreOneIn) == 0 {
		sel.explore = req.NonIdempotent
		sel.probe = !req.NonIdempotent && len(req.Tried) == 0
	}
	sel.run()
	best := sel.choose()
	if best == nil {
		return Choice{}, false
	}
	s := b.state(best.Incarnation())
	s.outstanding++
	return Choice{Instance: *best, LastResort: sel.best == nil, RateLimit: s.rateLimit, RateLimitUpAt: s.rateLimitUpAt}, true
}

// deadlineRisk returns the additional cost of an instance for a
// non-idempotent request, by its relative latency on the route.
func (b *Balancer) deadlineRisk(req *PickRequest, s *instanceState, now time.Time) float64 {
	if !req.NonIdempotent || req.TimeLimit <= 0 {
		return 0
	}
	fraction := min(1, float64(b.meanByRoute[req.Route])/float64(req.TimeLimit))
	return b.cfg.Weights.ShortDeadline * fraction * s.latencyByRoute[req.Route].excess(now, routeSlowdownHalfLife)
}

// Done records the outcome of a request to the run at of an instance
// returned by Pick.
func (b *Balancer) Done(at directory.Incarnation, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(at)
	s.outstanding--
	now := time.Now()
	s.recordProbe(o, now)
	switch {
	case o.Unreachable:
		s.avoidUntil = now.Add(unreachableBackoff)
		return
	case o.Leaving:
		s.avoidUntil = now.Add(leavingBackoff)
	case o.RateWait > 0:
		s.rateRefusals++
		s.avoidUntil = now.Add(rateBackoff(o.RateWait, s.rateRefusals))
		s.rateFreeAt = now.Add(o.RateWait)
	case o.NotRun && o.RateLimit > 0:
		// Refused in the queue at the rate limit, which has not ended.
	case !o.Failed && !o.Refused:
		s.avoidUntil, s.rateRefusals = time.Time{}, 0
	}
	if o.Load != nil {
		s.rateLimit, s.rateLimitUpAt = o.RateLimit, o.UpAt
		s.load, s.outstandingAtLoad = *o.Load, s.outstanding
		s.reportedFailureRate, s.reportedSlowdown, s.reportedAt = o.Load.FailureRate, o.Load.Slowdown-1, now
	}
	s.health.Record(o.Failed || o.Refused)
	if o.Latency > 0 {
		b.recordLatency(s, o, now)
	}
}

// recordLatency updates the relative latency of an instance. Absolute
// latency would mostly reflect which routes the instance happened to serve.
func (b *Balancer) recordLatency(s *instanceState, o Outcome, now time.Time) {
	mean, ok := b.meanByRoute[o.Route]
	if !ok {
		mean = o.Latency
	}
	ratio := min(float64(o.Latency)/float64(mean), maxRatio)
	b.meanByRoute[o.Route] = mean + time.Duration(float64(o.Latency-mean)*routeMeanSmoothing)
	s.latency = s.latency.add(ratio, now)
	s.latencyByRoute[o.Route] = s.latencyByRoute[o.Route].add(ratio, now)
}

// HasState reports whether a run of an instance has been considered for or
// sent a request.
func (b *Balancer) HasState(at directory.Incarnation) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.states[at]
	return ok
}

// Prune discards the data on runs of instances that v does not list and that
// have no outstanding requests, unless they recently stated a rate limit. A rate
// limit that a run stated before v listed it is kept as that run's.
func (b *Balancer) Prune(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for at, s := range b.states {
		in, ok := v.Find(at.ID)
		if ok && in.Started == at.At {
			continue
		}
		if ok && s.isRateLimited() {
			b.adoptRateLimit(in.Incarnation(), s)
		}
		if s.outstanding == 0 && !s.isRateLimited() {
			delete(b.states, at)
		}
	}
}

func (b *Balancer) state(at directory.Incarnation) *instanceState {
	s := b.states[at]
	if s == nil {
		s = &instanceState{latencyByRoute: map[string]relativeLatency{}}
		b.states[at] = s
	}
	return s
}

// cost returns the cost of choosing an instance, mainly its utilization;
// lower is better.
func (b *Balancer) cost(in *directory.Instance, s *instanceState, now time.Time) float64 {
	c := b.placeCost(in, s.utilization(in, now), now)
	c += b.cfg.Weights.FailureRate * b.failureRate(s)
	excess := max(s.latency.excess(now, slowdownHalfLife), b.cfg.Weights.ReportedHealth*decayed(s.reportedSlowdown, s.reportedAt))
	c += min(maxSlowdownCost, b.cfg.Weights.Latency*excess)
	return c + jitter*rand.Float64()
}

// placeCost returns the cost of an instance by its utilization and data centre.
func (b *Balancer) placeCost(in *directory.Instance, utilization float64, now time.Time) float64 {
	c := utilization
	if now.Before(in.ColdUntil) {
		c *= coldFactor
	}
	if in.DC != b.cfg.DC {
		c += b.cfg.Weights.RemoteDC
	}
	return c
}

// utilization returns the number of requests at or queued for an instance as
// a fraction of its slots.
func (s *instanceState) utilization(in *directory.Instance, now time.Time) float64 {
	limit := s.load.Limit
	if limit == 0 {
		limit = max(in.Slots, 1)
	}
	n := max(s.reportedRequests(now)+s.outstanding-s.outstandingAtLoad, s.outstanding)
	return float64(n) / float64(limit)
}

// failureRate returns the higher of the failure rates observed by this node and
// reported by the instance's node. The former includes lost responses; the
// latter covers the requests of all callers and so shows a failing instance
// sooner. Without it, each caller would have to lose a dozen requests.
func (b *Balancer) failureRate(s *instanceState) float64 {
	return max(s.health.FailureRate(), b.cfg.Weights.ReportedHealth*decayed(s.reportedFailureRate, s.reportedAt))
}

// anyConfirmed reports whether any instance is neither leaving nor unconfirmed.
func anyConfirmed(instances []directory.Instance) bool {
	for i := range instances {
		if !instances[i].Leaving && !instances[i].Unconfirmed {
			return true
		}
	}
	return false
}
