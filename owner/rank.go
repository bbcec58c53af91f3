package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// Next returns the instance to which a router sends key next: the highest in
// rank that has not declined it and had not left when the key was created.
func Next(instances []callgraph.Instance, key call.Key, declined []string, hasLeft func(instance string) bool) (callgraph.Instance, bool) {
	for _, in := range Rank(instances, key) {
		if !slices.Contains(declined, in.Name) && !hasLeft(in.Name) {
			return in, true
		}
	}
	return callgraph.Instance{}, false
}

// Rank returns the instances in the order in which they may run key. Instances
// in the key's home data centre come first, so that a disconnected data centre
// can continue with its own actions. Within each group the order is by
// rendezvous hash, so that adding or removing an instance moves only that
// instance's keys.
func Rank(instances []callgraph.Instance, key call.Key) []callgraph.Instance {
	home := callgraph.DC(key.Home())
	type scored struct {
		in    callgraph.Instance
		home  bool
		score uint64
	}
	all := make([]scored, len(instances))
	for i, in := range instances {
		all[i] = scored{in: in, home: in.DC == home, score: xxhash.Sum64String(string(key) + "\x00" + in.Name)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.home != b.home {
			if a.home {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.score, a.score)
	})
	ranked := make([]callgraph.Instance, len(all))
	for i, s := range all {
		ranked[i] = s.in
	}
	return ranked
}
