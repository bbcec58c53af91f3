package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// PropagationDelay is how long after this instance applied a call graph some
// router may still use the previous one: 9 s of propagation plus 1 s of clock
// skew.
const PropagationDelay = 10 * time.Second

// firstVersion is the version of a deployment's first call graph. No router
// used another graph before it.
const firstVersion = 1

const (
	// Run means that neither another instance nor an earlier process of this
	// one can have run the key or can run it later.
	Run Verdict = iota
	// Decline means that this instance has not run the key and, having
	// declined, never will. Another instance may.
	Decline
	// Uncertain means that the key may have run in an earlier process of
	// this instance or before the dedup window, or that its timestamp is
	// invalid. No instance may run it.
	Uncertain
)

type (
	// Verdict is an instance's decision on a key.
	Verdict int

	// Config is the configuration of an Arbiter.
	Config struct {
		Instance    string        // this node's instance name
		DedupWindow time.Duration // how long the node remembers the keys it ran
		ClockSkew   time.Duration // maximum clock difference between callers and nodes
		// HasLeft reports whether an instance had permanently left
		// before the given time. Nil means that none has.
		HasLeft func(instance string, before time.Time) bool
	}

	// Arbiter decides on keys from the start time of its process and the
	// call graphs applied since. It is safe for concurrent use.
	Arbiter struct {
		cfg     Config
		started time.Time

		mu         sync.Mutex
		graphs     []appliedGraph // oldest first
		vmListRead bool
	}

	// appliedGraph is a call graph and the time from which it was active at
	// this node; for the first graph, the time when it was accepted.
	appliedGraph struct {
		graph     *callgraph.Graph
		appliedAt time.Time
	}
)

// NewArbiter returns the Arbiter of a process that starts now. Key timestamps
// have millisecond resolution, so the start is rounded up to the next
// millisecond.
func NewArbiter(cfg Config) *Arbiter {
	return &Arbiter{cfg: cfg, started: time.Now().Add(cfg.ClockSkew).Truncate(time.Millisecond).Add(time.Millisecond)}
}

// Started returns the earliest key timestamp that can be judged. Older keys may
// have run in an earlier process of this instance.
func (a *Arbiter) Started() time.Time { return a.started }

// SetGraph records that g is active from now on. For the first graph, the time
// of acceptance limits how long routers have used it.
func (a *Arbiter) SetGraph(g *callgraph.Graph) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	appliedAt := now
	if len(a.graphs) == 0 {
		appliedAt = g.AcceptedAt
		if g.Version == firstVersion {
			appliedAt = time.Time{}
		}
	}
	a.graphs = append(a.graphs, appliedGraph{graph: g, appliedAt: appliedAt})
	// Drop graphs replaced too long ago to matter to any key that can still
	// run.
	for len(a.graphs) > 1 && now.Sub(a.graphs[1].appliedAt) > a.cfg.DedupWindow+PropagationDelay {
		a.graphs = a.graphs[1:]
	}
}

// SetVMListRead records that this process has read the VM list. Until then
// keys are declined, since this may be a restart on a VM that others consider to
// have left.
func (a *Arbiter) SetVMListRead() {
	a.mu.Lock()
	a.vmListRead = true
	a.mu.Unlock()
}

// VMListRead reports whether SetVMListRead was called.
func (a *Arbiter) VMListRead() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.vmListRead
}

// Claim decides on key for an operation of service, given the instances that
// have declined it.
//
// It guards against an action that runs twice: on two instances or in two
// processes of one, when an owner is killed, a new graph is applied or an
// instance leaves, and the caller's retry finds an empty dedup window. Every
// try is made after the timestamp in the key, so an instance whose process and
// rank are older than that has received every try.
func (a *Arbiter) Claim(service string, key call.Key, declined []string) Verdict {
	created, err := key.Created()
	if err != nil {
		return Uncertain
	}
	// A timestamp ahead of this node's clock would make the key look newer than
	// a process that started after its first try.
	age := time.Since(created)
	if created.Before(a.started) || age >= a.cfg.DedupWindow-a.cfg.ClockSkew || age < -a.cfg.ClockSkew {
		return Uncertain
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.vmListRead {
		return Decline
	}
	for _, applied := range slices.Backward(a.graphs) {
		if !a.isNext(applied.graph, service, key, created, declined) {
			return Decline
		}
		if created.After(applied.appliedAt.Add(PropagationDelay)) {
			return Run
		}
	}
	return Decline
}

// isNext reports whether every instance ranked above this one in g has declined
// the key or had left before the key was created.
func (a *Arbiter) isNext(g *callgraph.Graph, service string, key call.Key, created time.Time, declined []string) bool {
	s := g.Services[service]
	if s == nil {
		return false
	}
	for _, in := range Rank(s.Instances, key) {
		if in.Name == a.cfg.Instance {
			return true
		}
		if !slices.Contains(declined, in.Name) && !a.hasLeft(in.Name, created) {
			return false
		}
	}
	return false
}

func (a *Arbiter) hasLeft(instance string, before time.Time) bool {
	return a.cfg.HasLeft != nil && a.cfg.HasLeft(instance, before)
}
