package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// Table knows the instances of every service and which to avoid now.
type Table struct {
	local callgraph.DC
	rr    atomic.Uint64

	mu      sync.Mutex
	graph   *callgraph.Graph
	leaving map[string]bool      // instance names
	listed  map[string]time.Time // instance name -> when the VM list first showed it leaving
	avoid   map[string]time.Time // instance name -> until
}

// NewTable returns a Table for a node in data centre local.
func NewTable(local callgraph.DC) *Table {
	return &Table{local: local, leaving: map[string]bool{}, listed: map[string]time.Time{}, avoid: map[string]time.Time{}}
}

// SetGraph puts a new text's instances in force.
func (t *Table) SetGraph(g *callgraph.Graph) {
	t.mu.Lock()
	t.graph = g
	t.mu.Unlock()
}

// SetLeaving marks an instance as leaving, or not; it gets no new calls.
func (t *Table) SetLeaving(name string, leaving bool) {
	t.mu.Lock()
	t.leaving[name] = leaving
	t.mu.Unlock()
}

// SetListed notes whether the VM list shows an instance as leaving; one that
// is gets no new calls.
func (t *Table) SetListed(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving[name] = leaving
	_, known := t.listed[name]
	switch {
	case !leaving:
		delete(t.listed, name)
	case !known:
		t.listed[name] = time.Now()
	}
}

// ListedBefore reports whether the VM list showed an instance as leaving
// before at.
func (t *Table) ListedBefore(name string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, ok := t.listed[name]
	return ok && since.Before(at)
}

// Avoided reports whether calls are kept away from an instance now.
func (t *Table) Avoided(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.avoid[name])
}

// Avoid keeps calls away from an instance until the given time, as when its
// node could not be dialled. A capacity refusal is no reason: its come-back
// time is for the caller of that one call.
func (t *Table) Avoid(name string, until time.Time) {
	t.mu.Lock()
	t.avoid[name] = until
	t.mu.Unlock()
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
		if tried[in.Name] || t.leaving[in.Name] || now.Before(t.avoid[in.Name]) {
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
