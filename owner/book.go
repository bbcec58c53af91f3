package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// Settle is how long after this instance applied a call graph some router may
// still use the previous one: 9 s of propagation plus 1 s of clock skew.
const Settle = 10 * time.Second

// firstVersion is the version of a deployment's first call graph. No router
// used another graph before it.
const firstVersion = 1

const (
	// Run means that neither another instance nor an earlier process of this
	// one can have run the key or can run it later.
	Run Verdict = iota
	// Decline means that this instance has not run the key and, having
	// declined, never will. Another instance in the key's rank may.
	Decline
	// Doubt means that the key may have run in an earlier process of this
	// instance or before the dedup window, or that its timestamp is invalid. No
	// instance may run it.
	Doubt
)

type (
	// Verdict is an instance's decision on a key.
	Verdict int

	// Config is the configuration of a Book.
	Config struct {
		Instance string        // this node's instance name
		Window   time.Duration // how long the node remembers the keys it ran
		Skew     time.Duration // maximum clock difference between callers and nodes
		// Gone reports whether an instance had permanently left before the
		// given time. Nil means that none has.
		Gone func(instance string, before time.Time) bool
	}

	// Book decides on keys from the start time of its process and the call
	// graphs applied since. It is safe for concurrent use.
	Book struct {
		cfg     Config
		started time.Time

		mu        sync.Mutex
		graphs    []appliedGraph // oldest first
		confirmed bool
	}

	// appliedGraph is a call graph and the time from which it was in force at
	// this node; for the first graph, the time when it was accepted.
	appliedGraph struct {
		graph     *callgraph.Graph
		appliedAt time.Time
	}
)

// NewBook returns the Book of a process that starts now. Key timestamps have
// millisecond resolution, so the start is rounded up to the next millisecond.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, started: time.Now().Add(cfg.Skew).Truncate(time.Millisecond).Add(time.Millisecond)}
}

// Started returns the earliest key timestamp that can be judged. Older keys may
// have run in an earlier process of this instance.
func (b *Book) Started() time.Time { return b.started }

// SetGraph records that g is in force from now on. For the first graph, the
// time of acceptance limits how long routers have used it.
func (b *Book) SetGraph(g *callgraph.Graph) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	appliedAt := now
	if len(b.graphs) == 0 {
		appliedAt = g.Accepted
		if g.Version == firstVersion {
			appliedAt = time.Time{}
		}
	}
	b.graphs = append(b.graphs, appliedGraph{graph: g, appliedAt: appliedAt})
	// Drop graphs replaced too long ago to matter to any key that can still
	// run.
	for len(b.graphs) > 1 && now.Sub(b.graphs[1].appliedAt) > b.cfg.Window+Settle {
		b.graphs = b.graphs[1:]
	}
}

// Confirm records that this process has read the VM list. Until then keys are
// declined, since this may be a restart on a VM that others count as gone.
func (b *Book) Confirm() {
	b.mu.Lock()
	b.confirmed = true
	b.mu.Unlock()
}

// Confirmed reports whether Confirm was called.
func (b *Book) Confirmed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed
}

// Claim decides on key for an operation of service, given the instances that
// have declined it.
//
// It guards against an action that runs twice: on two instances or in two
// processes of one, when an owner is killed, a new graph is applied or an
// instance leaves, and the caller's retry finds an empty dedup window. Every
// retry follows the time in the key, so an instance whose process and rank are
// older than the key has seen all of them.
func (b *Book) Claim(service string, key call.Key, declined []string) Verdict {
	made, err := key.Made()
	if err != nil {
		return Doubt
	}
	// A timestamp ahead of this node's clock would make the key look newer than
	// a process that started after its first try.
	age := time.Since(made)
	if made.Before(b.started) || age >= b.cfg.Window-b.cfg.Skew || age < -b.cfg.Skew {
		return Doubt
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.confirmed {
		return Decline
	}
	for _, applied := range slices.Backward(b.graphs) {
		if !b.isNext(applied.graph, service, key, made, declined) {
			return Decline
		}
		if made.After(applied.appliedAt.Add(Settle)) {
			return Run
		}
	}
	return Decline
}

// isNext reports whether every instance ranked above this one in g has declined
// the key or was gone before the key was made.
func (b *Book) isNext(g *callgraph.Graph, service string, key call.Key, made time.Time, declined []string) bool {
	s := g.Services[service]
	if s == nil {
		return false
	}
	for _, in := range Rank(s.Instances, key) {
		if in.Name == b.cfg.Instance {
			return true
		}
		if !slices.Contains(declined, in.Name) && !b.gone(in.Name, made) {
			return false
		}
	}
	return false
}

func (b *Book) gone(instance string, before time.Time) bool {
	return b.cfg.Gone != nil && b.cfg.Gone(instance, before)
}
