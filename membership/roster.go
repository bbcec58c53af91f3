package membership

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// nodesPerReader is how many nodes of a data centre learn from one reader:
	// at 1,100 nodes in six data centres that makes 66 readers, whose calls at
	// a change are a thirtieth of the 2,000 a second that a source answers,
	// and a reader answers 16 questions a second.
	nodesPerReader = 16
	// leastReaders is how many a data centre has at least, so that one that is
	// frozen, cut off from the source or killed leaves another.
	leastReaders = 2
	// firstNodes is how many nodes of a data centre others turn to, one after
	// the other, for what any of them can answer.
	firstNodes = 3
)

type (
	// Addr is the address of a node for other nodes, host:port.
	Addr string

	// roster is the nodes of each data centre, in the order in which they are
	// to read: that of their addresses' hashes, which is the same at every
	// node and moves by one place when a node comes or goes.
	roster struct {
		nodes map[callgraph.DC][]Addr
	}
)

// newRoster ranks the nodes beside the instances of a view. Those whose
// instance is leaving will stop; those whose entry went may be out of the
// source's reach.
func newRoster(v *directory.View, beside func(directory.Instance) (Addr, error)) *roster {
	r := &roster{nodes: map[callgraph.DC][]Addr{}}
	for _, in := range v.All() {
		if in.Leaving || in.Unlisted {
			continue
		}
		if a, err := beside(in); err == nil {
			r.nodes[in.DC] = append(r.nodes[in.DC], a)
		}
	}
	for dc, all := range r.nodes {
		hash := make(map[Addr]uint64, len(all))
		for _, a := range all {
			hash[a] = xxhash.Sum64String(string(a))
		}
		slices.SortFunc(all, func(a, b Addr) int { return cmp.Or(cmp.Compare(hash[a], hash[b]), cmp.Compare(a, b)) })
		r.nodes[dc] = slices.Compact(all)
	}
	return r
}

// wanted is how many readers a data centre is to have.
func (r *roster) wanted(dc callgraph.DC) int {
	n := len(r.nodes[dc])
	return min(n, max(leastReaders, n/nodesPerReader))
}

// readers are the first nodes of a data centre that are not passed over, as
// many as are wanted.
func (r *roster) readers(dc callgraph.DC, passed func(Addr) bool) []Addr {
	want := r.wanted(dc)
	out := make([]Addr, 0, want)
	for _, a := range r.nodes[dc] {
		if len(out) == want {
			break
		}
		if !passed(a) {
			out = append(out, a)
		}
	}
	return out
}

// first are the nodes of a data centre that others turn to first.
func (r *roster) first(dc callgraph.DC) []Addr {
	all := r.nodes[dc]
	return all[:min(len(all), firstNodes)]
}

// total is how many readers all data centres have.
func (r *roster) total() int {
	n := 0
	for dc := range r.nodes {
		n += r.wanted(dc)
	}
	return max(n, 1)
}

// others are the data centres besides one, in a fixed order.
func (r *roster) others(dc callgraph.DC) []callgraph.DC {
	out := slices.Sorted(maps.Keys(r.nodes))
	return slices.DeleteFunc(out, func(o callgraph.DC) bool { return o == dc })
}
