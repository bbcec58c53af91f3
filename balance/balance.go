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
	// farCost is what an instance in another data centre costs, in parts of
	// its slots in use: bytes between data centres are dear, so the near one
	// is filled first, but not to the brim, where requests begin to wait.
	farCost = 0.35
	// failCost is what an instance costs whose answers all fail. Half of its
	// requests failing outweighs a free neighbour elsewhere.
	failCost = 3.0
	// slowCost is what an instance costs per time that it is slower than the
	// mean; slowMost bounds it. Instances of a service differ by two to three
	// times in health. More than this would leave the slow ones half empty
	// while requests wait at the fast ones.
	slowCost = 0.2
	slowMost = 2.0
	// tightCost is the same for an action, for each part of its time that it
	// usually takes: one that runs out of time cannot be made elsewhere. An
	// approval that takes a third of its time goes to another data centre
	// when it takes two fifths longer than usual here.
	tightCost = 3.0
	// exploreOne of so many actions goes to any sound instance instead of the
	// best: speed is known by comparison only, and a node whose own data
	// centre has one slow instance would never see another.
	exploreOne = 32
	// sound is the part that may fail at an instance to be explored.
	sound = 0.05
	// roomy is the part of its slots that may be in use there.
	roomy = 0.8
	// exploreFirst puts an instance to be explored before all others.
	exploreFirst = 10.0
	// slowForget is the time after which what is known of an instance's
	// speed counts half, when nothing new is heard.
	slowForget = 4 * time.Second
	// routeForget is the same for its speed on one route, of which a node
	// hears every few seconds, when it explores.
	routeForget = 20 * time.Second
	// jitter spreads the choices of nodes that know the same.
	jitter = 0.08
	// usualSmoothing is the same for a route's usual time, which is to be
	// steadier than any instance's.
	usualSmoothing = 1.0 / 128
	// ratioMost bounds one request's part in an instance's mean: one in a
	// hundred takes five times as long by itself.
	ratioMost = 6.0
	// coldFactor is how much fuller a cold instance counts: it takes twice
	// as long for the same work.
	coldFactor = 2.0
	// unreachablePause keeps requests from an instance whose node could not
	// be reached; the next one after it shows whether it is back.
	unreachablePause = time.Second
	// leavingPause is the same for one that said it is leaving, and ends
	// because its node may only be restarted: a stopping node sends requests
	// away for its last second and is back within one more.
	leavingPause = 2 * time.Second
)

type (
	// Weights are what counts against an instance besides the part of its
	// slots in use, in such parts. One of zero leaves its matter out.
	Weights struct {
		Far     float64 // for one in another data centre
		Fail    float64 // for one whose answers all fail
		Told    float64 // of what its node tells of its failures, 0 to 1
		Slow    float64 // for each time that it is slower than usual
		Tight   float64 // the same for an action, by the part of its time it takes
		Explore int     // one of so many actions goes to any sound instance; 0 for none
		Sample  int     // so many instances are weighed for a request; 0 for all
	}

	// Config is what a Balancer is built from.
	Config struct {
		DC      callgraph.DC // of the node
		Weights Weights
	}

	// Balancer keeps what is known of each instance's behaviour. It is safe
	// for concurrent use.
	Balancer struct {
		cfg Config

		mu     sync.Mutex
		usual  map[string]time.Duration // mean time of each route's requests
		states map[directory.Start]*state
	}

	// Ask is a request to be sent to one of several instances.
	Ask struct {
		Route     string
		Instances []directory.Instance
		Near      []directory.Instance   // those in the node's own data centre; may be left out
		Tried     []directory.InstanceID // not to be picked
		// Once says that it cannot be sent again when it may have run.
		Once bool
		Time time.Duration // in which it is to be done; only with Once
	}

	// Outcome is how one request to an instance ended.
	Outcome struct {
		Route       string        // by which the request went
		Took        time.Duration // from sending to the answer; 0 if it says nothing of speed
		Failed      bool          // the instance ran it and failed, or nothing came back
		Refused     bool          // the instance itself refused to run it
		Unreachable bool          // its node could not be reached
		Leaving     bool          // its node or the instance takes no new requests
		Load        *call.Load    // as its node told with the answer; may be nil
	}

	state struct {
		outstanding int
		load        call.Load
		loadAt      int // outstanding when load was told
		slow        speed
		byRoute     map[string]speed
		health      Health  // by this node's own requests
		told        float64 // part that fails, as the instance's node told
		toldSlow    float64 // by how much it is slower than lately, as that told
		toldAt      time.Time
		avoidUntil  time.Time
	}
)

// Usual are the weights that are measured to serve best.
func Usual() Weights {
	return Weights{Far: farCost, Fail: failCost, Told: 1, Slow: slowCost, Tight: tightCost, Explore: exploreOne, Sample: sample}
}

// New returns a Balancer that knows no instance.
func New(cfg Config) *Balancer {
	return &Balancer{cfg: cfg, usual: map[string]time.Duration{}, states: map[directory.Start]*state{}}
}

// Pick chooses an instance for a request and counts the request as
// outstanding there until Done. ok is false when none is left.
func (b *Balancer) Pick(a Ask) (in directory.Instance, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := choice{b: b, ask: &a, now: time.Now(), certain: anyCertain(a.Instances)}
	c.explore = a.Once && b.cfg.Weights.Explore > 0 && rand.N(b.cfg.Weights.Explore) == 0
	c.look()
	best := c.best
	if best == nil {
		best = c.avoided
	}
	if best == nil {
		return directory.Instance{}, false
	}
	b.state(best.Start()).outstanding++
	return *best, true
}

// tightness is what an instance's speed on a route costs an action besides.
func (b *Balancer) tightness(a *Ask, s *state, now time.Time) float64 {
	if !a.Once || a.Time <= 0 {
		return 0
	}
	part := min(1, float64(b.usual[a.Route])/float64(a.Time))
	return b.cfg.Weights.Tight * part * s.byRoute[a.Route].over(now, routeForget)
}

// Done notes how a request to an instance ended; at is the start that it was
// sent to.
func (b *Balancer) Done(at directory.Start, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(at)
	s.outstanding--
	now := time.Now()
	switch {
	case o.Unreachable:
		s.avoidUntil = now.Add(unreachablePause)
		return
	case o.Leaving:
		s.avoidUntil = now.Add(leavingPause)
	case !o.Failed && !o.Refused:
		s.avoidUntil = time.Time{}
	}
	if o.Load != nil {
		s.load, s.loadAt = *o.Load, s.outstanding
		s.told, s.toldSlow, s.toldAt = o.Load.Failing, o.Load.Slow-1, now
	}
	s.health.Note(o.Failed || o.Refused)
	if o.Took > 0 {
		b.noteSpeed(s, o, now)
	}
}

// noteSpeed compares a request's time with the usual of its route: the mean
// time itself would tell more of which requests an instance happened to get.
func (b *Balancer) noteSpeed(s *state, o Outcome, now time.Time) {
	usual, ok := b.usual[o.Route]
	if !ok {
		usual = o.Took
	}
	ratio := min(float64(o.Took)/float64(usual), ratioMost)
	b.usual[o.Route] = usual + time.Duration(float64(o.Took-usual)*usualSmoothing)
	s.slow = s.slow.next(ratio, now)
	s.byRoute[o.Route] = s.byRoute[o.Route].next(ratio, now)
}

// Knows reports whether requests were sent to a start of an instance, or it
// was weighed for one.
func (b *Balancer) Knows(at directory.Start) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.states[at]
	return ok
}

// Keep forgets the starts of instances that a view no longer lists.
func (b *Balancer) Keep(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for at, s := range b.states {
		if in, ok := v.Find(at.ID); (!ok || in.Started != at.At) && s.outstanding == 0 {
			delete(b.states, at)
		}
	}
}

func (b *Balancer) state(at directory.Start) *state {
	s := b.states[at]
	if s == nil {
		s = &state{byRoute: map[string]speed{}}
		b.states[at] = s
	}
	return s
}

// cost is how much is against an instance, mostly the part of its slots that
// is in use; less is better.
func (b *Balancer) cost(in *directory.Instance, s *state, now time.Time) float64 {
	c := s.used(in)
	if now.Before(in.ColdTill) {
		c *= coldFactor
	}
	if in.DC != b.cfg.DC {
		c += b.cfg.Weights.Far
	}
	c += b.cfg.Weights.Fail * b.failing(s)
	slow := max(s.slow.over(now, slowForget), b.cfg.Weights.Told*faded(s.toldSlow, s.toldAt))
	c += min(slowMost, b.cfg.Weights.Slow*slow)
	return c + jitter*rand.Float64()
}

// used is the part of an instance's slots that is in use or waited for.
func (s *state) used(in *directory.Instance) float64 {
	limit := s.load.Limit
	if limit == 0 {
		limit = max(in.Slots, 1)
	}
	n := max(s.load.Busy+s.load.Queued+s.outstanding-s.loadAt, s.outstanding)
	return float64(n) / float64(limit)
}

// failing is the part of an instance's requests that fails. This node sees
// what got lost on the way; the instance's node sees the requests of all
// callers, and tells of an instance that fails after a few of them, where
// each caller by itself would have to lose a dozen to know.
func (b *Balancer) failing(s *state) float64 {
	return max(s.health.Failing(), b.cfg.Weights.Told*faded(s.told, s.toldAt))
}

// anyCertain reports whether some instance is there for certain.
func anyCertain(instances []directory.Instance) bool {
	for i := range instances {
		if !instances[i].Leaving && !instances[i].Doubtful {
			return true
		}
	}
	return false
}
