package replication

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// nodesPerReader is how many nodes of a data centre share one reader. It
	// bounds both the calls per change at the source and the polls that one reader
	// serves. At 1,100 nodes in six data centres there are 66 readers, whose calls
	// on a change are a thirtieth of the 2,000 per second that the source serves.
	nodesPerReader = 16
	// minReaders is the minimum number of readers per data centre, so that one
	// reader can freeze, lose the source or be killed.
	minReaders = 2
	// collectorsPerDC is how many nodes per data centre are returned by
	// Syncer.Collectors.
	collectorsPerDC = 3
)

type (
	// Addr is the host:port address at which other nodes reach a node.
	Addr string

	// ranking holds the nodes of each data centre in rank order: sorted by the
	// hash of their address. All nodes compute the same order, and a node that
	// joins or leaves shifts it by one place only.
	ranking struct {
		nodes map[callgraph.DC][]Addr
	}
)

// newRanking ranks the nodes that serve the instances of v. Leaving instances
// are excluded because their nodes are about to stop, unlisted ones because
// their nodes may have lost the source.
func newRanking(v *directory.View, nodeAddr func(directory.Instance) (Addr, error)) *ranking {
	r := &ranking{nodes: map[callgraph.DC][]Addr{}}
	for _, in := range v.All() {
		if in.Leaving || in.Unlisted {
			continue
		}
		if a, err := nodeAddr(in); err == nil {
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

// readerCount returns the number of readers that a data centre needs.
func (r *ranking) readerCount(dc callgraph.DC) int {
	n := len(r.nodes[dc])
	return min(n, max(minReaders, n/nodesPerReader))
}

// readers returns the highest-ranked nodes of a data centre for which skip is
// false, at most readerCount of them.
func (r *ranking) readers(dc callgraph.DC, skip func(Addr) bool) []Addr {
	want := r.readerCount(dc)
	out := make([]Addr, 0, want)
	for _, a := range r.nodes[dc] {
		if len(out) == want {
			break
		}
		if !skip(a) {
			out = append(out, a)
		}
	}
	return out
}

// collectors returns the highest-ranked nodes of a data centre, at most
// collectorsPerDC of them.
func (r *ranking) collectors(dc callgraph.DC) []Addr {
	all := r.nodes[dc]
	return all[:min(len(all), collectorsPerDC)]
}

// totalReaders returns the number of readers in all data centres, at least 1.
func (r *ranking) totalReaders() int {
	n := 0
	for dc := range r.nodes {
		n += r.readerCount(dc)
	}
	return max(n, 1)
}

// otherDCs returns all data centres except dc, sorted by name.
func (r *ranking) otherDCs(dc callgraph.DC) []callgraph.DC {
	out := slices.Sorted(maps.Keys(r.nodes))
	return slices.DeleteFunc(out, func(o callgraph.DC) bool { return o == dc })
}
