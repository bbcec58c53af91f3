package owner

import (
	"slices"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// Settle is how long after an instance put a text in force some router may
// still hold the text before it: the 9 s in which an accepted text reaches
// every node, and one more for clocks that differ.
const Settle = 10 * time.Second

// firstVersion is the version of a deployment's first text: no router ever
// held one before it.
const firstVersion = 1

const (
	// Run means that no other instance, and no earlier process of this one,
	// can have run the key or can run it later.
	Run Verdict = iota
	// Decline means that this instance has not run the key and, once it has
	// said so, never will; another in the key's rank may.
	Decline
	// Doubt means that the key may have run here before this process began
	// or longer ago than it remembers, or that its time cannot be right:
	// nobody may run it now.
	Doubt
)

type (
	// Verdict is what an instance may do with a key.
	Verdict int

	// Config is what a Book is built from.
	Config struct {
		Instance string        // this node's instance name
		Window   time.Duration // how long the node remembers the keys it ran
		Skew     time.Duration // how far the clocks of callers and nodes may differ
		// Gone reports whether an instance had left for good before the
		// time given; nil for none has.
		Gone func(instance string, before time.Time) bool
	}

	// Book holds what an instance needs to judge keys: when its process
	// began and the texts that were in force since. It is safe for
	// concurrent use.
	Book struct {
		cfg     Config
		started time.Time

		mu        sync.Mutex
		texts     []text // oldest first
		confirmed bool
	}

	text struct {
		graph *callgraph.Graph
		since time.Time // in force at this node; for the first, when it was accepted
	}
)

// NewBook returns the Book of a process that begins now. Keys are dated to
// the millisecond, and one made in the millisecond of the start may be of
// either side of it.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, started: time.Now().Add(cfg.Skew).Truncate(time.Millisecond).Add(time.Millisecond)}
}

// Started returns the time from which keys can be judged: a key made before
// it may have run in an earlier process of this instance.
func (b *Book) Started() time.Time { return b.started }

// SetGraph notes that g is in force from now on. Of the first text only the
// time it was accepted tells how long routers have held it.
func (b *Book) SetGraph(g *callgraph.Graph) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	since := now
	if len(b.texts) == 0 {
		since = g.Accepted
		if g.Version == firstVersion {
			since = time.Time{}
		}
	}
	b.texts = append(b.texts, text{graph: g, since: since})
	// A text replaced longer ago than the window and Settle matters to no
	// key that can still be judged.
	for len(b.texts) > 1 && now.Sub(b.texts[1].since) > b.cfg.Window+Settle {
		b.texts = b.texts[1:]
	}
}

// Confirm notes that this process has read a VM list. Before that it may be
// a restart on a VM that others already count as gone, so it declines keys.
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

// Claim judges key for an operation of service, given the instances that
// declined it already.
//
// The failure it guards against is an action run by two instances, or by
// two processes of one: the owner's node is killed after its target ran the
// action, or a new text or a leaving instance moves the key, and the
// caller's next try finds an empty window. It shows as a doubled
// publication. The guard holds because a key carries the time it was made:
// every try of it came after that time, so an instance whose process and
// whose place in the rank are older than the key has seen every try.
func (b *Book) Claim(service string, key call.Key, passed []string) Verdict {
	made, err := key.Made()
	if err != nil {
		return Doubt
	}
	// A key from the future (its maker's clock is wrong) would look newer
	// than a process that began after its first try.
	age := time.Since(made)
	if made.Before(b.started) || age >= b.cfg.Window-b.cfg.Skew || age < -b.cfg.Skew {
		return Doubt
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.confirmed {
		return Decline
	}
	for _, t := range slices.Backward(b.texts) {
		if !b.first(t.graph, service, key, made, passed) {
			return Decline
		}
		if made.After(t.since.Add(Settle)) {
			return Run
		}
	}
	return Decline
}

// first reports whether every instance ranked above this one under g has
// declined the key or was gone before it was made.
func (b *Book) first(g *callgraph.Graph, service string, key call.Key, made time.Time, passed []string) bool {
	s := g.Services[service]
	if s == nil {
		return false
	}
	for _, in := range Rank(s.Instances, key) {
		if in.Name == b.cfg.Instance {
			return true
		}
		if !slices.Contains(passed, in.Name) && !b.gone(in.Name, made) {
			return false
		}
	}
	return false
}

func (b *Book) gone(instance string, before time.Time) bool {
	return b.cfg.Gone != nil && b.cfg.Gone(instance, before)
}
