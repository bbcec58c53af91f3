package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
)

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
