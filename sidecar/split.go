package sidecar

import (
	"math/rand/v2"
	"sync"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

// goldenRatio is the step, modulo 1, between two draws of a route. Its multiples
// keep the shares close to the weights over few requests.
const goldenRatio = 0.6180339887498949

// splitDraws draws the services of requests on split routes. Each route has a
// sequence of its own: what a route gets of a sequence that all routes share is
// uneven if it takes every 13th or 21st number, as call trees do. Each begins at
// random, or nodes that restart together would all begin with the same service.
// The zero value is ready for use. It is safe for concurrent use.
type splitDraws struct {
	mu      sync.Mutex
	version callgraph.Version // newest version of the routes seen
	last    map[string]float64
}

// pickService returns the service for a new request on a route.
func (n *Node) pickService(routes *directory.Routes, rt *directory.Route) string {
	service := n.splits.pick(routes.Version, rt)
	if rt.IsSplit() {
		n.stats.countSplitDraw(rt.Name, service)
	}
	return service
}

// pick returns the service for a request on a route. Only split routes take a draw.
func (d *splitDraws) pick(v callgraph.Version, rt *directory.Route) string {
	if !rt.IsSplit() {
		return rt.PickService(0)
	}
	return rt.PickService(d.next(v, rt.Name))
}

// next returns the next number in [0,1) of a route's sequence. A newer version of
// the routes starts all sequences anew, so those of removed routes are dropped.
func (d *splitDraws) next(v callgraph.Version, route string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.last == nil || v > d.version {
		d.version, d.last = v, map[string]float64{}
	}
	x, started := d.last[route]
	if !started {
		x = rand.Float64()
	}
	x += goldenRatio
	if x >= 1 {
		x--
	}
	d.last[route] = x
	return x
}
