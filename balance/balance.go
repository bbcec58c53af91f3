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
	// slowForget is the time after which what is known of an instance's
	// speed counts half, when nothing new is heard.
	slowForget = 4 * time.Second
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
	// because its node may only be restarted.
	leavingPause = 3 * time.Second
)

type (
	// Balancer keeps what is known of each instance's behaviour. It is safe
	// for concurrent use.
	Balancer struct {
		dc callgraph.DC

		mu     sync.Mutex
		usual  map[string]time.Duration // mean time of each route's requests
		states map[directory.InstanceID]*state
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
		loadAt      int     // outstanding when load was told
		slow        float64 // mean time against the usual of the same routes; 0 if unknown
		slowAt      time.Time
		health      Health  // by this node's own requests
		told        float64 // part that fails, as the instance's node told
		toldAt      time.Time
		avoidUntil  time.Time
	}
)

// New returns a Balancer for a node in a data centre.
func New(dc callgraph.DC) *Balancer {
	return &Balancer{dc: dc, usual: map[string]time.Duration{}, states: map[directory.InstanceID]*state{}}
}

// Pick chooses among the instances of a service, but for those in tried, and
// counts the request as outstanding there until Done. ok is false when none
// is left.
func (b *Balancer) Pick(instances []directory.Instance, tried []directory.InstanceID) (in directory.Instance, ok bool) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	certain := anyCertain(instances)
	best, avoided := -1, -1
	var bestCost, avoidedCost float64
	for i := range instances {
		if instances[i].Leaving || (certain && instances[i].Doubtful) || contains(tried, instances[i].ID) {
			continue
		}
		s := b.state(instances[i].ID)
		cost := b.cost(&instances[i], s, now)
		if now.Before(s.avoidUntil) {
			if avoided < 0 || cost < avoidedCost {
				avoided, avoidedCost = i, cost
			}
			continue
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	if best < 0 {
		best = avoided
	}
	if best < 0 {
		return directory.Instance{}, false
	}
	b.state(instances[best].ID).outstanding++
	return instances[best], true
}

// Done notes how a request to an instance ended.
func (b *Balancer) Done(id directory.InstanceID, o Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(id)
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
		s.told, s.toldAt = o.Load.Failing, now
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
	if s.slow == 0 {
		s.slow = 1
	}
	s.slow += (ratio - s.slow) * smoothing
	s.slowAt = now
}

// Keep forgets the instances that a view no longer lists.
func (b *Balancer) Keep(v *directory.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if _, ok := v.Find(id); !ok && s.outstanding == 0 {
			delete(b.states, id)
		}
	}
}

func (b *Balancer) state(id directory.InstanceID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{}
		b.states[id] = s
	}
	return s
}

// cost is how much is against an instance, mostly the part of its slots that
// is in use; less is better.
func (b *Balancer) cost(in *directory.Instance, s *state, now time.Time) float64 {
	limit := s.load.Limit
	if limit == 0 {
		limit = max(in.Slots, 1)
	}
	used := max(s.load.Busy+s.load.Queued+s.outstanding-s.loadAt, s.outstanding)
	c := float64(used) / float64(limit)
	if now.Before(in.ColdTill) {
		c *= coldFactor
	}
	if in.DC != b.dc {
		c += farCost
	}
	c += failCost * s.failing()
	if s.slow > 0 {
		age := float64(now.Sub(s.slowAt)) / float64(slowForget)
		c += min(slowMost, slowCost*(s.slow-1)/(1+age))
	}
	return c + jitter*rand.Float64()
}

// failing is the part of an instance's requests that fails. This node sees
// what got lost on the way; the instance's node sees the requests of all
// callers, and tells of an instance that fails after a few of them, where
// each caller by itself would have to lose a dozen to know.
func (s *state) failing() float64 { return max(s.health.Failing(), faded(s.told, s.toldAt)) }

// anyCertain reports whether some instance is there for certain.
func anyCertain(instances []directory.Instance) bool {
	for i := range instances {
		if !instances[i].Leaving && !instances[i].Doubtful {
			return true
		}
	}
	return false
}

func contains(ids []directory.InstanceID, id directory.InstanceID) bool {
	for _, o := range ids {
		if o == id {
			return true
		}
	}
	return false
}
