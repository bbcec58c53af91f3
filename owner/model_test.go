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
	textLag = 9 * time.Second // within which every process holds an accepted text
	listLag = 5 * time.Second // within which every process has read the VM list
	window  = 5 * time.Minute
	bubbles = 20 // rapid ends a run after 24 h, and a bubble's hours pass fast
)

type (
	// process is one node as the model runs it: the real book, dedup window
	// and filters of an instance, or only the table of a router.
	process struct {
		graph   *callgraph.Graph
		table   *route.Table
		book    *owner.Book // nil for a router
		leaving atomic.Bool
		serve   filter.Handler
	}

	// fleet is the model: a platform, instances that may run keys, routers
	// that send them, and the oracle, which counts the runs of each key.
	fleet struct {
		texts   []*callgraph.Graph
		listed  map[string]time.Time
		nodes   map[string]*process
		routers []*process
		keys    []call.Key
		parked  []func()
		runs    map[call.Key]int
	}
)

// bubbleTB hides T.Deadline from rapid: it may not be asked for in a
// synctest bubble.
type bubbleTB struct{ rapid.TB }

var pool = []callgraph.Instance{
	{Name: "versand-1", DC: "nord"}, {Name: "versand-2", DC: "nord"},
	{Name: "versand-3", DC: "sued"}, {Name: "versand-4", DC: "sued"},
}

func newFleet() *fleet {
	f := &fleet{listed: map[string]time.Time{}, nodes: map[string]*process{}, runs: map[call.Key]int{}}
	f.submit(pool[:3])
	for _, in := range pool {
		f.nodes[in.Name] = f.start(in.Name)
	}
	f.routers = []*process{f.start(""), f.start("")}
	return f
}

func (f *fleet) submit(instances []callgraph.Instance) {
	f.texts = append(f.texts, &callgraph.Graph{Version: callgraph.Version(len(f.texts) + 1), Accepted: time.Now(),
		Services: map[string]*callgraph.Service{"versand": {Name: "versand", Instances: slices.Clone(instances)}}})
}

// start begins a new process, of an instance or (with no name) of a router;
// it remembers nothing of an earlier one.
func (f *fleet) start(name string) *process {
	p := &process{table: route.NewTable("nord")}
	if name != "" {
		p.book = owner.NewBook(owner.Config{Instance: name, Window: window, Gone: p.gone})
		p.serve = filter.Chain(filter.HandlerFunc(func(_ context.Context, c *filter.Call) call.Answer {
			f.runs[c.Request.Key]++
			return call.Answer{Status: call.OK}
		}), filter.NewDedup(window, 1<<20).Filter(), filter.Owner(p.book), filter.Drain(&p.leaving))
	}
	p.apply(f.texts[len(f.texts)-1])
	return p
}

func (p *process) gone(instance string, at time.Time) bool {
	return p.table.ListedBefore(instance, at.Add(-owner.Settle))
}

func (p *process) apply(g *callgraph.Graph) {
	if p.graph != nil && g.Version <= p.graph.Version {
		return
	}
	p.graph = g
	if p.book != nil {
		p.book.SetGraph(g)
	}
}

// readList reads the platform's VM list, as the node's controller does.
func (f *fleet) readList(name string, p *process) {
	for _, in := range pool {
		_, leaving := f.listed[in.Name]
		p.table.SetListed(in.Name, leaving)
		if leaving && in.Name == name {
			p.leaving.Store(true)
		}
	}
	if p.book != nil {
		p.book.Confirm()
	}
}

// try sends key through r as a router does; ask may withhold an instance
// (unreachable) or its turn (paused).
func (f *fleet) try(r *process, key call.Key, cut map[string]bool, pause bool) bool {
	made, _ := key.Made()
	var passed []string
	for {
		in, ok := owner.Next(r.graph.Services["versand"].Instances, key, passed, func(name string) bool {
			return r.gone(name, made.Add(-listLag-time.Second))
		})
		if !ok || cut[in.Name] {
			return false
		}
		p, req := f.nodes[in.Name], &call.Request{Service: "versand", Key: key, Passed: slices.Clone(passed), Remaining: time.Minute}
		serve := func() call.Answer {
			return p.serve.Serve(context.Background(), &filter.Call{Request: req, Op: &callgraph.Operation{}})
		}
		if pause {
			f.parked = append(f.parked, func() { serve() })
			return false
		}
		a := serve()
		if !a.Declined {
			return a.Status == call.OK
		}
		passed = append(passed, in.Name)
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

// Pass lets time go by. Texts and the list reach each process at some point
// of their lag.
func (f *fleet) Pass(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	f.each(func(name string, p *process) {
		newest := f.texts[len(f.texts)-1]
		for _, g := range f.texts {
			if time.Since(g.Accepted) >= textLag {
				p.apply(g)
			}
		}
		if rapid.IntRange(0, 5).Draw(t, "reads text") == 0 {
			p.apply(newest)
		}
		stale := false
		for _, at := range f.listed {
			stale = stale || time.Since(at) >= listLag
		}
		if stale || rapid.IntRange(0, 3).Draw(t, "reads list") == 0 {
			f.readList(name, p)
		}
	})
}

// Idle lets time go by, now and then so much that the dedup windows forget.
func (f *fleet) Idle(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "long") == 0 {
		time.Sleep(window + time.Second)
	}
	f.Pass(t)
}

// NewText has the operator submit another set of instances.
func (f *fleet) NewText(t *rapid.T) {
	n := rapid.IntRange(1, len(pool)).Draw(t, "instances")
	f.submit(rapid.Permutation(pool).Draw(t, "order")[:n])
}

// Kill restarts the process of an instance or a router at once.
func (f *fleet) Kill(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "router") == 0 {
		f.routers[rapid.IntRange(0, 1).Draw(t, "which")] = f.start("")
		return
	}
	name := rapid.SampledFrom(pool).Draw(t, "instance").Name
	f.nodes[name] = f.start(name)
}

// Drain stops an instance by its own operator's SIGTERM.
func (f *fleet) Drain(t *rapid.T) {
	f.nodes[rapid.SampledFrom(pool).Draw(t, "instance").Name].leaving.Store(true)
}

// List shows an instance as leaving in the platform's list.
func (f *fleet) List(t *rapid.T) {
	name := rapid.SampledFrom(pool).Draw(t, "instance").Name
	if _, ok := f.listed[name]; !ok && len(f.listed) < 2 {
		f.listed[name] = time.Now()
	}
}

// Try sends a new action, or an old one again, through some router, with
// some instances cut off and sometimes the owner paused.
func (f *fleet) Try(t *rapid.T) {
	if len(f.keys) == 0 || rapid.Bool().Draw(t, "new") {
		f.keys = append(f.keys, keyNow(rapid.SampledFrom([]string{"nord", "sued"}).Draw(t, "home"), uint64(len(f.keys))))
	}
	recent := f.keys[max(0, len(f.keys)-4):]
	key := rapid.SampledFrom(recent).Draw(t, "key")
	cut := map[string]bool{}
	if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
		cut[rapid.SampledFrom(pool).Draw(t, "cut instance").Name] = true
	}
	f.try(f.routers[rapid.IntRange(0, 1).Draw(t, "router")], key, cut, rapid.IntRange(0, 5).Draw(t, "pause") == 0)
}

// Wake lets the calls that waited at paused processes run, late.
func (f *fleet) Wake(*rapid.T) {
	for _, run := range f.parked {
		run()
	}
	f.parked = nil
}

func (f *fleet) Check(t *rapid.T) {
	for key, n := range f.runs {
		if n > 1 {
			t.Fatalf("%s ran %d times", key, n)
		}
	}
}

// Nodes are killed and restarted, drained, listed as leaving and paused;
// operators add and remove instances; routers hold old texts and are cut
// off from instances; and clients send their publications again and again
// through other routers. No publication may run twice. Afterwards, with
// everything calm, a new publication must run, or the guard would simply
// refuse all.
func TestKeysRunAtMostOnce(t *testing.T) {
	for range bubbles {
		synctest.Test(t, runFleets)
	}
}

func runFleets(t *testing.T) {
	rapid.Check(bubbleTB{t}, func(t *rapid.T) {
		f := newFleet()
		t.Repeat(rapid.StateMachineActions(f))
		f.Wake(t)
		time.Sleep(time.Minute)
		f.each(func(name string, p *process) {
			p.apply(f.texts[len(f.texts)-1])
			f.readList(name, p)
		})
		f.Check(t)
		serving := slices.ContainsFunc(f.texts[len(f.texts)-1].Services["versand"].Instances, func(in callgraph.Instance) bool {
			return !f.nodes[in.Name].leaving.Load()
		})
		time.Sleep(time.Minute)
		if key := keyNow("nord", 0); serving && !f.try(f.routers[0], key, nil, false) {
			t.Fatalf("a new key did not run once all was calm")
		}
	})
}

// Rendezvous hashing must give each instance its share of the keys: a skewed
// hash sends half of all publications to one of three instances.
func TestRankSpreadsKeysEvenly(t *testing.T) {
	const keys = 30_000
	first := map[string]int{}
	ins := []callgraph.Instance{{Name: "versand-1"}, {Name: "versand-2"}, {Name: "versand-3"}}
	for i := range keys {
		first[owner.Rank(ins, call.Key(fmt.Sprintf("release-%d", i)))[0].Name]++
	}
	for _, in := range ins {
		if share := float64(first[in.Name]) / keys; share < 0.31 || share > 0.36 {
			t.Errorf("%s has %.3f of the keys", in.Name, share)
		}
	}
}
