package owner_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
	"github.com/oatpin/oatpin/owner"
	"github.com/oatpin/oatpin/route"
	"pgregory.net/rapid"
)

const (
	// graphLag and listLag bound the time until every process has applied an
	// accepted call graph and read the VM list.
	graphLag = 9 * time.Second
	listLag  = 5 * time.Second
	window   = 5 * time.Minute
	// rapid stops a check after 24 h, which pass quickly on a synctest clock,
	// so the check is repeated.
	checkRuns = 20
)

type (
	// process is a node in the model: the Arbiter, dedup window and
	// filters of an instance, or only the route table of a router.
	process struct {
		graph   *callgraph.Graph
		table   *route.Table
		arbiter *owner.Arbiter // nil for a router
		leaving atomic.Bool
		handler filter.Handler
	}

	// fleet models a configuration service, the instances that may run keys, and
	// the routers that send them. It counts the runs of each key.
	fleet struct {
		graphs       []*callgraph.Graph
		leavingSince map[string]time.Time
		nodes        map[string]*process
		routers      []*process
		keys         []call.Key
		paused       []func()
		runs         map[call.Key]int
	}
)

// synctestTB hides T.Deadline, which must not be called within synctest.
type synctestTB struct{ rapid.TB }

var pool = []callgraph.Instance{
	{Name: "versand-1", DC: "nord"}, {Name: "versand-2", DC: "nord"},
	{Name: "versand-3", DC: "sued"}, {Name: "versand-4", DC: "sued"},
}

func newFleet() *fleet {
	f := &fleet{leavingSince: map[string]time.Time{}, nodes: map[string]*process{}, runs: map[call.Key]int{}}
	f.submit(pool[:3])
	for _, in := range pool {
		f.nodes[in.Name] = f.start(in.Name)
	}
	f.routers = []*process{f.start(""), f.start("")}
	return f
}

func (f *fleet) submit(instances []callgraph.Instance) {
	f.graphs = append(f.graphs, &callgraph.Graph{Version: callgraph.Version(len(f.graphs) + 1), AcceptedAt: time.Now(),
		Services: map[string]*callgraph.Service{"versand": {Name: "versand", Instances: slices.Clone(instances)}}})
}

// start returns a new process without state, of an instance or, with an empty
// name, of a router.
func (f *fleet) start(name string) *process {
	p := &process{table: route.NewTable("nord")}
	if name != "" {
		p.arbiter = owner.NewArbiter(owner.Config{Instance: name, DedupWindow: window, HasLeft: p.hasLeft})
		p.handler = filter.Chain(filter.HandlerFunc(func(_ context.Context, c *filter.Call) call.Answer {
			f.runs[c.Request.Key]++
			return call.Answer{Status: call.OK}
		}), filter.NewDedup(window, 1<<20).Filter(), filter.KeyOwnership(p.arbiter), filter.Drain(&p.leaving))
	}
	p.apply(f.graphs[len(f.graphs)-1])
	return p
}

func (p *process) hasLeft(instance string, at time.Time) bool {
	return p.table.LeavingBefore(instance, at.Add(-owner.PropagationDelay))
}

func (p *process) apply(g *callgraph.Graph) {
	if p.graph != nil && g.Version <= p.graph.Version {
		return
	}
	p.graph = g
	if p.arbiter != nil {
		p.arbiter.SetGraph(g)
	}
}

// readList applies the configuration service's VM list, as the node's controller
// does.
func (f *fleet) readList(name string, p *process) {
	for _, in := range pool {
		_, leaving := f.leavingSince[in.Name]
		p.table.SetLeaving(in.Name, leaving)
		if leaving && in.Name == name {
			p.leaving.Store(true)
		}
	}
	if p.arbiter != nil {
		p.arbiter.SetVMListRead()
	}
}

// send routes key through a router and reports whether it was answered. It
// fails at an unreachable instance. With pause, the instance delays the call
// until Wake.
func (f *fleet) send(router *process, key call.Key, unreachable map[string]bool, pause bool) bool {
	created, _ := key.Created()
	var declined []string
	for {
		in, ok := owner.Next(router.graph.Services["versand"].Instances, key, declined, func(name string) bool {
			return router.hasLeft(name, created.Add(-listLag-time.Second))
		})
		if !ok || unreachable[in.Name] {
			return false
		}
		p, req := f.nodes[in.Name], &call.Request{Service: "versand", Key: key, DeclinedBy: slices.Clone(declined), Remaining: time.Minute}
		serve := func() call.Answer {
			return p.handler.Serve(context.Background(), &filter.Call{Request: req, Op: &callgraph.Operation{}})
		}
		if pause {
			f.paused = append(f.paused, func() { serve() })
			return false
		}
		a := serve()
		if !a.Declined {
			return a.Status == call.OK
		}
		declined = append(declined, in.Name)
	}
}

func (f *fleet) each(do func(name string, p *process)) {
	for _, in := range pool {
		do(in.Name, f.nodes[in.Name])
	}
	for _, r := range f.routers {
		do("", r)
	}
}

// Pass advances the time and applies graphs and the VM list at each process, at
// the latest after their lags.
func (f *fleet) Pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	f.each(func(name string, p *process) {
		newest := f.graphs[len(f.graphs)-1]
		for _, g := range f.graphs {
			if time.Since(g.AcceptedAt) >= graphLag {
				p.apply(g)
			}
		}
		if rapid.IntRange(0, 5).Draw(t, "reads text") == 0 {
			p.apply(newest)
		}
		overdue := false
		for _, at := range f.leavingSince {
			overdue = overdue || time.Since(at) >= listLag
		}
		if overdue || rapid.IntRange(0, 3).Draw(t, "reads list") == 0 {
			f.readList(name, p)
		}
	})
}

// Idle advances the time, occasionally beyond the dedup window.
func (f *fleet) Idle(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		time.Sleep(window + time.Second)
	}
	f.Pass(t)
}

// NewText submits a call graph with another set of instances.
func (f *fleet) NewText(t *rapid.T) {
	n := rapid.IntRange(1, len(pool)).Draw(t, "instances")
	f.submit(rapid.Permutation(pool).Draw(t, "order")[:n])
}

// Kill restarts the process of an instance or a router.
func (f *fleet) Kill(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "router") == 0 {
		f.routers[rapid.IntRange(0, 1).Draw(t, "which")] = f.start("")
		return
	}
	name := rapid.SampledFrom(pool).Draw(t, "instance").Name
	f.nodes[name] = f.start(name)
}

// Drain marks an instance as leaving at the node, but not in the VM list.
func (f *fleet) Drain(t *rapid.T) {
	f.nodes[rapid.SampledFrom(pool).Draw(t, "instance").Name].leaving.Store(true)
}

// List marks an instance as leaving in the VM list.
func (f *fleet) List(t *rapid.T) {
	name := rapid.SampledFrom(pool).Draw(t, "instance").Name
	if _, ok := f.leavingSince[name]; !ok && len(f.leavingSince) < 2 {
		f.leavingSince[name] = time.Now()
	}
}

// Try sends a new or a recent key through a router, with some instances
// unreachable and sometimes with a pause.
func (f *fleet) Try(t *rapid.T) {
	if len(f.keys) == 0 || rapid.Bool().Draw(t, "new") {
		f.keys = append(f.keys, keyNow(rapid.SampledFrom([]string{"nord", "sued"}).Draw(t, "home"), uint64(len(f.keys))))
	}
	recent := f.keys[max(0, len(f.keys)-4):]
	key := rapid.SampledFrom(recent).Draw(t, "key")
	unreachable := map[string]bool{}
	if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
		unreachable[rapid.SampledFrom(pool).Draw(t, "cut instance").Name] = true
	}
	f.send(f.routers[rapid.IntRange(0, 1).Draw(t, "router")], key, unreachable, rapid.IntRange(0, 5).Draw(t, "pause") == 0)
}

// Wake runs the calls delayed by a pause.
func (f *fleet) Wake(*rapid.T) {
	for _, run := range f.paused {
		run()
	}
	f.paused = nil
}

func (f *fleet) Check(t *rapid.T) {
	for key, n := range f.runs {
		if n > 1 {
			t.Fatalf("key %s ran %d times, want at most once", key, n)
		}
	}
}

// No key may run twice while nodes restart, drain, leave and pause, call graphs
// change and callers retry through stale routers. Once the fleet is stable, a
// new key must run, so that refusing every key does not pass.
func TestKeysRunAtMostOnce(t *testing.T) {
	for range checkRuns {
		synctest.Test(t, runFleets)
	}
}

func runFleets(t *testing.T) {
	rapid.Check(synctestTB{t}, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(rapid.StateMachineActions(f))
		f.Wake(t)
		time.Sleep(time.Minute)
		f.each(func(name string, p *process) {
			p.apply(f.graphs[len(f.graphs)-1])
			f.readList(name, p)
		})
		f.Check(t)
		serving := slices.ContainsFunc(f.graphs[len(f.graphs)-1].Services["versand"].Instances, func(in callgraph.Instance) bool {
			return !f.nodes[in.Name].leaving.Load()
		})
		time.Sleep(time.Minute)
		if key := keyNow("nord", 0); serving && !f.send(f.routers[0], key, nil, false) {
			t.Fatalf("a new key did not run in a stable fleet")
		}
	})
}

// Rendezvous hashing must give each instance an equal share of the keys.
func TestRankSpreadsKeysEvenly(t *testing.T) {
	const keys = 30_000
	first := map[string]int{}
	ins := []callgraph.Instance{{Name: "versand-1"}, {Name: "versand-2"}, {Name: "versand-3"}}
	for i := range keys {
		first[owner.Rank(ins, call.Key(fmt.Sprintf("release-%d", i)))[0].Name]++
	}
	for _, in := range ins {
		if share := float64(first[in.Name]) / keys; share < 0.31 || share > 0.36 {
			t.Errorf("%s ranks first for a share of %.3f of the keys, want 0.31 to 0.36", in.Name, share)
		}
	}
}
