package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

const (
	// avoidUnreachable keeps calls away from an instance whose node could
	// not be dialled.
	avoidUnreachable = time.Second
	// avoidDraining keeps calls away from an instance that answered as
	// leaving. It ends, because the VM may stay and only its process be
	// restarted; while it drains, asking again costs one re-pick.
	avoidDraining = 5 * time.Second
)

// Table knows the instances of every service and which to avoid now.
type Table struct {
	local callgraph.DC
	rr    atomic.Uint64

	mu          sync.Mutex
	graph       *callgraph.Graph
	listed      map[string]time.Time // instance -> when the VM list first showed it leaving
	unreachable map[string]time.Time // instance -> until
	draining    map[string]time.Time // instance -> until
}

// NewTable returns a Table for a node in data centre local.
func NewTable(local callgraph.DC) *Table {
	return &Table{local: local, listed: map[string]time.Time{},
		unreachable: map[string]time.Time{}, draining: map[string]time.Time{}}
}

// SetGraph puts a new text's instances in force.
func (t *Table) SetGraph(g *callgraph.Graph) {
	t.mu.Lock()
	t.graph = g
	t.mu.Unlock()
}

// Version returns the version of the text in force, 0 for none.
func (t *Table) Version() callgraph.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.graph == nil {
		return 0
	}
	return t.graph.Version
}

// SetListed notes whether the VM list shows an instance as leaving; one that
// is gets no new calls.
func (t *Table) SetListed(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.listed[name]
	switch {
	case !leaving:
		delete(t.listed, name)
	case !known:
		t.listed[name] = time.Now()
	}
}

// ClearListed forgets the VM list, before a full one is noted.
func (t *Table) ClearListed() {
	t.mu.Lock()
	clear(t.listed)
	t.mu.Unlock()
}

// ListedBefore reports whether the VM list showed an instance as leaving
// before at.
func (t *Table) ListedBefore(name string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.listed[name]
	return ok && since.Before(at)
}

// SetDraining keeps calls away from an instance that answered as leaving.
func (t *Table) SetDraining(name string) {
	t.mu.Lock()
	t.draining[name] = time.Now().Add(avoidDraining)
	t.mu.Unlock()
}

// SetUnreachable keeps calls away from an instance whose node could not be
// dialled. A capacity refusal is no reason: its come-back time is for the
// caller of that one call, and avoiding every instance that refused once
// left none to call while slots were free again.
func (t *Table) SetUnreachable(name string) {
	t.mu.Lock()
	t.unreachable[name] = time.Now().Add(avoidUnreachable)
	t.mu.Unlock()
}

// Unreachable reports whether an instance's node could not be dialled just
// now.
func (t *Table) Unreachable(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.unreachable[name])
}

// Pick returns an instance of service, skipping those in tried. Instances of
// the local data centre come first, so that a data centre cut off from the
// others goes on serving; within the chosen set they take turns.
func (t *Table) Pick(service string, tried map[string]bool) (callgraph.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.graph == nil || t.graph.Services[service] == nil {
		return callgraph.Instance{}, false
	}
	now := time.Now()
	var local, remote []callgraph.Instance
	for _, in := range t.graph.Services[service].Instances {
		if tried[in.Name] || t.avoided(in.Name, now) {
			continue
		}
		if in.DC == t.local {
			local = append(local, in)
		} else {
			remote = append(remote, in)
		}
	}
	set := local
	if len(set) == 0 {
		set = remote
	}
	if len(set) == 0 {
		return callgraph.Instance{}, false
	}
	return set[t.rr.Add(1)%uint64(len(set))], true
}

func (t *Table) avoided(name string, now time.Time) bool {
	_, listed := t.listed[name]
	return listed || now.Before(t.unreachable[name]) || now.Before(t.draining[name])
}
