package sidecar

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

const (
	// minJudged is the number of requests on a route from which its shares are
	// judged.
	minJudged = 200
	// maxShareError is how far a share may be off its weight, half of what operators
	// accept.
	maxShareError = 0.1
)

type (
	// splitFleet is the split routes of many nodes, of which only the draws run.
	splitFleet struct {
		nodes []*splitDraws
		drawn map[string]map[string]int // by route and service
	}
)

func newSplitFleet(nodes int) *splitFleet {
	f := &splitFleet{nodes: make([]*splitDraws, nodes), drawn: map[string]map[string]int{}}
	for i := range f.nodes {
		f.nodes[i] = &splitDraws{}
	}
	return f
}

// restart restarts a node.
func (f *splitFleet) restart(node int) { f.nodes[node] = &splitDraws{} }

// send draws for a request on a route at a node.
func (f *splitFleet) send(node int, v callgraph.Version, rt *directory.Route) {
	if f.drawn[rt.Name] == nil {
		f.drawn[rt.Name] = map[string]int{}
	}
	f.drawn[rt.Name][f.nodes[node].pick(v, rt)]++
}

// worstError returns how far a share of a route is off its weight at most.
func (f *splitFleet) worstError(rt *directory.Route) (worst float64) {
	requests, weights := 0, 0
	for _, s := range rt.Shares {
		requests, weights = requests+f.drawn[rt.Name][s.Service], weights+s.Weight
	}
	for _, s := range rt.Shares {
		off := float64(f.drawn[rt.Name][s.Service])/float64(requests) - float64(s.Weight)/float64(weights)
		worst = max(worst, off, -off)
	}
	return worst
}

func splitRoute(name string, weights ...int) *directory.Route {
	rt := &directory.Route{Name: name}
	for i, w := range weights {
		rt.Shares = append(rt.Shares, directory.Share{Service: fmt.Sprint("part-", i), Weight: w})
	}
	return rt
}

// Guards against shares far off their weights while many nodes restart at once and
// each gets few requests, of which the route's are every 13th, 21st or 34th.
func TestSplitRouteKeepsWeightsOverRestartedNodes(t *testing.T) {
	const nodes, perNode = 40, 5
	for _, stride := range []int{1, 13, 21, 34} {
		for offset := range stride {
			f, rt, other := newSplitFleet(nodes), splitRoute("split", 75, 25), splitRoute("other", 1, 1)
			for node := range nodes {
				for i := range perNode * stride {
					if i%stride == offset {
						f.send(node, 1, rt)
					} else {
						f.send(node, 1, other)
					}
				}
			}
			Convey(fmt.Sprintf("One request of %d, from the one numbered %d", stride, offset), t, func() {
				So(f.worstError(rt), ShouldBeLessThan, maxShareError)
			})
		}
	}
}

// Guards against shares off their weights with any mix of routes, weights,
// restarts and versions.
func TestSplitRoutesKeepWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSplitFleet(rapid.IntRange(1, 50).Draw(t, "nodes"))
		routes := make([]*directory.Route, rapid.IntRange(1, 6).Draw(t, "routes"))
		for i := range routes {
			routes[i] = splitRoute(fmt.Sprint("route-", i), rapid.SliceOfN(rapid.IntRange(1, 100), 2, 4).Draw(t, "weights")...)
		}
		pattern := rapid.SliceOfN(rapid.IntRange(0, len(routes)-1), 1, 40).Draw(t, "pattern")
		// With fewer requests between two starts the draws are independent, and
		// 200 of them are off by over a tenth once in some hundred runs.
		lifetime := rapid.IntRange(5*len(pattern), 40*len(pattern)).Draw(t, "requests between restarts")
		v := callgraph.Version(1)
		for i := range 2 * minJudged * len(pattern) {
			node := i / len(pattern) % len(f.nodes)
			if i%(lifetime*len(f.nodes)) == 0 && rapid.Bool().Draw(t, "restart all") {
				for n := range f.nodes {
					f.restart(n)
				}
			} else if i%(lifetime*len(f.nodes)) == 0 {
				v++
			}
			f.send(node, v, routes[pattern[i%len(pattern)]])
		}
		for _, rt := range routes {
			if n := len(f.drawn[rt.Name]); n > 0 && f.worstError(rt) >= maxShareError {
				t.Fatalf("%s: shares %v off by %.2f: %v", rt.Name, rt.Shares, f.worstError(rt), f.drawn[rt.Name])
			}
		}
	})
}

// A part of a split route is full for a while. Guards against requests of that part
// that are run by the other one, and against refusals that nothing counts.
func TestFullPartOfSplitRouteHandsNothingToOther(t *testing.T) {
	const requests, callers = 200, 15
	m := newMesh(t, "entwurf", "archiv", "versand")
	rt := directory.Route{Name: "split", Host: "h", Prefix: "/split/", Idempotent: true, MaxInstances: 2, Timeout: time.Second, TargetLatency: 500 * time.Millisecond,
		Shares: []directory.Share{{Service: "archiv", Weight: 75}, {Service: "versand", Weight: 25}}}
	routes, err := directory.NewRoutes(2, directory.Limits{BodyBytes: 1000}, []directory.Route{rt})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range m.vms {
		v.dir.Apply([]directory.Change{{Routes: routes}}, 2)
	}
	full := m.vms[1].node
	Convey("While its instances are full, a part serves none and refuses its share; the other serves its own", t, func() {
		for range full.gate.Load().Limit {
			_, err := full.gate.Acquire(context.Background(), slots.Ticket{Deadline: time.Now().Add(time.Minute)})
			So(err, ShouldBeNil)
		}
		served, refused := 0, 0
		var wg sync.WaitGroup
		var mu sync.Mutex
		var sent atomic.Int64
		for range callers {
			wg.Go(func() {
				for sent.Add(1) <= requests {
					_, got := m.get(m.vms[0], "/split/x")
					mu.Lock()
					switch got.code {
					case http.StatusOK:
						served++
					case http.StatusServiceUnavailable:
						refused++
					}
					mu.Unlock()
				}
			})
		}
		wg.Wait()
		n := m.vms[0].node
		drawn := func(service string) int { return int(n.stats.drawn("split", service)) }
		turnedAway := requests - drawn("archiv") - drawn("versand")
		So(served+refused, ShouldEqual, requests)
		So(m.vms[1].target.total(), ShouldEqual, 0)
		So(m.vms[2].target.total(), ShouldEqual, served)
		So(served, ShouldEqual, drawn("versand"))
		So(refused, ShouldEqual, drawn("archiv")+turnedAway)
		So(n.stats.splitRefused("split", "archiv"), ShouldEqual, drawn("archiv"))
		So(n.stats.splitRefused("split", "versand"), ShouldEqual, 0)
	})
}

// drawn returns how many requests of a split route were drawn for a service.
func (s *stats) drawn(route, service string) uint64 {
	return s.draws.get(splitKey{route: route, service: service}, func() *metrics.Counter { return &metrics.Counter{} }).Get()
}

// splitRefused returns how many of them were refused.
func (s *stats) splitRefused(route, service string) (sum int) {
	for k, c := range s.splitRefusals.metrics {
		if k.route == route && k.service == service {
			sum += int(c.Get())
		}
	}
	return sum
}

// total returns how many requests the target has run.
func (f *fakeTarget) total() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runsByID)
}
