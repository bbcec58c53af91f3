package route

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

const (
	// unreachableBackoff is how long an instance is skipped after its node
	// could not be dialled.
	unreachableBackoff = time.Second
	// drainingBackoff is how long an instance is skipped after it answered as
	// leaving. It is limited because the process may be restarted on the same VM.
	// While it drains, trying it again costs one more pick.
	drainingBackoff = 5 * time.Second
)

// Table holds the instances of every service and those to skip. It is safe for
// concurrent use.
type Table struct {
	local callgraph.DC
	next  atomic.Uint64

	mu           sync.Mutex
	graph        *callgraph.Graph
	leavingSince map[string]time.Time // by instance: when the VM list first showed it as leaving
	unreachable  map[string]time.Time // by instance: end of the backoff
	draining     map[string]time.Time // by instance: end of the backoff
}

// NewTable returns an empty Table for a node in data centre local.
func NewTable(local callgraph.DC) *Table {
	return &Table{local: local, leavingSince: map[string]time.Time{},
		unreachable: map[string]time.Time{}, draining: map[string]time.Time{}}
}

// SetGraph replaces the instances by those of g.
func (t *Table) SetGraph(g *callgraph.Graph) {
	t.mu.Lock()
	t.graph = g
	t.mu.Unlock()
}

// Version returns the version of the current graph, 0 if there is none.
func (t *Table) Version() callgraph.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.graph == nil {
		return 0
	}
	return t.graph.Version
}

// SetLeaving records whether the VM list shows an instance as leaving. A
// leaving instance gets no new calls.
func (t *Table) SetLeaving(name string, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, recorded := t.leavingSince[name]
	switch {
	case !leaving:
		delete(t.leavingSince, name)
	case !recorded:
		t.leavingSince[name] = time.Now()
	}
}

// ClearLeaving discards all records of SetLeaving, before a complete VM list is
// recorded.
func (t *Table) ClearLeaving() {
	t.mu.Lock()
	clear(t.leavingSince)
	t.mu.Unlock()
}

// LeavingBefore reports whether the VM list showed an instance as leaving
// before at.
func (t *Table) LeavingBefore(name string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	since, leaving := t.leavingSince[name]
	return leaving && since.Before(at)
}

// SetDraining skips an instance for drainingBackoff, after it answered as
// leaving.
func (t *Table) SetDraining(name string) {
	t.mu.Lock()
	t.draining[name] = time.Now().Add(drainingBackoff)
	t.mu.Unlock()
}

// SetUnreachable skips an instance for unreachableBackoff, after its node could
// not be dialled. It must not be used for capacity refusals: skipping every
// instance that refused one call would leave none, even once slots are free
// again.
func (t *Table) SetUnreachable(name string) {
	t.mu.Lock()
	t.unreachable[name] = time.Now().Add(unreachableBackoff)
	t.mu.Unlock()
}

// Unreachable reports whether an instance is skipped because its node could not
// be dialled.
func (t *Table) Unreachable(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.unreachable[name])
}

// Pick returns an instance of service that is neither in tried nor skipped, and
// false if there is none. Instances of the local data centre are preferred, so
// that a partitioned data centre keeps serving. Within the preferred set
// selection is round-robin.
func (t *Table) Pick(service string, tried map[string]bool) (callgraph.Instance, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.graph == nil || t.graph.Services[service] == nil {
		return callgraph.Instance{}, false
	}
	now := time.Now()
	var local, remote []callgraph.Instance
	for _, in := range t.graph.Services[service].Instances {
		if tried[in.Name] || t.blocked(in.Name, now) {
			continue
		}
		if in.DC == t.local {
			local = append(local, in)
		} else {
			remote = append(remote, in)
		}
	}
	candidates := local
	if len(candidates) == 0 {
		candidates = remote
	}
	if len(candidates) == 0 {
		return callgraph.Instance{}, false
	}
	return candidates[t.next.Add(1)%uint64(len(candidates))], true
}

func (t *Table) blocked(name string, now time.Time) bool {
	_, leaving := t.leavingSince[name]
	return leaving || now.Before(t.unreachable[name]) || now.Before(t.draining[name])
}
