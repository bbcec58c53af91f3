package sidecar

import (
	"sync/atomic"

	"github.com/oatpin/oatpin/directory"
)

// goldenRatio is the step, modulo 1, between two draws. Its multiples keep the
// shares close to the weights over short periods.
const goldenRatio = 0.6180339887498949

// splitDraws draws the services of requests on split routes from one sequence.
type splitDraws struct{ last atomic.Uint64 }

// pickService returns the service for a new request on a route.
func (n *Node) pickService(rt *directory.Route) string {
	service := n.splits.pick(rt)
	if rt.IsSplit() {
		n.stats.countSplitDraw(rt.Name, service)
	}
	return service
}

// pick returns the service for a request on a route.
func (d *splitDraws) pick(rt *directory.Route) string {
	x := float64(d.last.Add(1)) * goldenRatio
	return rt.PickService(x - float64(int64(x)))
}
