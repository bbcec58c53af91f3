package route

import (
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// Table knows the instances of every service and which to avoid now.
type Table struct {
	local callgraph.DC
	rr    atomic.Uint64

	mu      sync.Mutex
	graph   *callgraph.Graph
	leaving map[string]bool      // instance names
	avoid   map[string]time.Time // instance name -> until
}

// NewTable returns a Table for a node in data centre local.
func NewTable(local callgraph.DC) *Table {
	return &Table{local: local, leaving: map[string]bool{}, avoid: map[string]time.Time{}}
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

// Avoid keeps calls away from an instance until the given time, as when its
// node could not be dialled. A capacity refusal is no reason: its come-back
// time is for the caller of that one call.
func (t *Table) Avoid(name string, until time.Time) {
	t.mu.Lock()
	t.avoid[name] = until
	t.mu.Unlock()
}

// Pick returns an instance of service for a call with key, skipping those
// in tried. Instances of the local data centre come first, so that a data
// centre cut off from the others goes on serving; within the chosen set a
// key always maps to the same instance (rendezvous hashing), so that a
// dedup window at that instance sees every try of one action.
func (t *Table) Pick(service string, key call.Key, tried map[string]bool) (callgraph.Instance, bool) {
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
	if len(set) == 0 || key != "" {
		set = append(local, remote...)
	}
	if len(set) == 0 {
		return callgraph.Instance{}, false
	}
	if key != "" {
		return rendezvous(set, key), true
	}
	return set[t.rr.Add(1)%uint64(len(set))], true
}

func rendezvous(set []callgraph.Instance, key call.Key) callgraph.Instance {
	var best callgraph.Instance
	var top uint64
	for _, in := range set {
		h := fnv.New64a()
		h.Write([]byte(key))
		h.Write([]byte(in.Name))
		if s := h.Sum64(); s >= top {
			best, top = in, s
		}
	}
	return best
}
