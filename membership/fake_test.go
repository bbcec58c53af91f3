package membership

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// sourceTime and wayTime are how long the source takes to answer, and a
	// message between nodes, one way.
	sourceTime = 4 * time.Millisecond
	wayTime    = 2 * time.Millisecond
	// silence is after how long a node finds that another one, or the source,
	// does not answer at all, as it does by pings and keep-alive probes.
	peerSilence   = 700 * time.Millisecond
	sourceSilence = 3 * time.Second
)

var (
	errCut    = errors.New("cut off")
	errTurned = errors.New("turned away")
	quiet     = &log.Logger{Handler: discard.New()}
)

type (
	// store is a source that many nodes read, with the whole of its history.
	store struct {
		mu      sync.Mutex
		rev     directory.Revision
		items   map[directory.InstanceID]directory.Instance
		history []directory.Change // of revision i+1 at i
		states  []map[directory.InstanceID]directory.Revision
		changed chan struct{}
		calls   atomic.Int64
		loads   atomic.Int64 // of those
	}

	// link is how one node is connected; each node sees the store through its
	// own.
	link struct {
		fleet  *fleet
		dc     callgraph.DC
		store  *store
		silent atomic.Bool // nothing comes through between it and the store
		turned atomic.Bool // the store turns it away
		cut    atomic.Bool // nothing comes through to it at all
	}

	// node is a Member with its link, and what runs it.
	node struct {
		*Member
		fleet *fleet
		link  *link
		addr  Addr
		in    directory.Instance
		dir   *directory.Directory
		stop  context.CancelFunc
		alive bool
	}

	// fleet is the nodes of a deployment, by address.
	fleet struct {
		store    *store
		mu       sync.Mutex
		alone    callgraph.DC // a data centre that is cut off from the others and the store; empty for none
		nodes    map[Addr]*node
		order    []*node
		seeds    []Addr
		messages atomic.Int64
		bytes    atomic.Int64
	}
)

func newStore() *store {
	return &store{items: map[directory.InstanceID]directory.Instance{}, changed: make(chan struct{}),
		states: []map[directory.InstanceID]directory.Revision{{}}}
}

// put lists an instance anew, or one that changed.
func (s *store) put(in directory.Instance) {
	s.write(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write is put without a word to those that wait: only a call that is made
// later tells of it.
func (s *store) write(in directory.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.Revision = s.rev + 1
	if old, ok := s.items[in.ID]; ok {
		in.Since = old.Since
	} else {
		in.Since = in.Revision
	}
	s.items[in.ID] = in
	s.note(directory.Change{Instance: &in})
}

func (s *store) remove(id directory.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[id]; !ok {
		return
	}
	delete(s.items, id)
	s.note(directory.Change{Gone: id, GoneAt: s.rev + 1})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) note(c directory.Change) {
	s.rev++
	s.history = append(s.history, c)
	state := make(map[directory.InstanceID]directory.Revision, len(s.items))
	for id, in := range s.items {
		state[id] = in.Revision
	}
	s.states = append(s.states, state)
}

func (s *store) revision() directory.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// out reports whether nothing comes through between the node and the store.
func (l *link) out() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.silent.Load() || l.cut.Load() || l.fleet.alone == l.dc
}

// apart reports whether nothing comes through between two nodes.
func (f *fleet) apart(a, b *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	between := a.in.DC != b.in.DC && (f.alone == a.in.DC || f.alone == b.in.DC)
	return between || a.link.cut.Load() || b.link.cut.Load()
}

func (f *fleet) cutOff(dc callgraph.DC) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.alone = dc
}

// through waits for one call's way to the store and back.
func (l *link) through(ctx context.Context) error {
	l.store.calls.Add(1)
	switch {
	case l.out():
		directory.Pause(ctx, sourceSilence)
		return errCut
	case l.turned.Load():
		directory.Pause(ctx, sourceTime)
		return errTurned
	}
	directory.Pause(ctx, sourceTime)
	return ctx.Err()
}

func (l *link) Load(ctx context.Context) (directory.Snapshot, error) {
	l.store.loads.Add(1)
	if err := l.through(ctx); err != nil {
		return directory.Snapshot{}, err
	}
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := directory.Snapshot{Revision: s.rev}
	for _, in := range s.items {
		snap.Instances = append(snap.Instances, in)
	}
	return snap, nil
}

// Watch waits as the store does. One that goes silent meanwhile is found by
// keep-alive probes.
func (l *link) Watch(ctx context.Context, after directory.Revision, wait time.Duration) ([]directory.Change, directory.Revision, error) {
	if err := l.through(ctx); err != nil {
		return nil, 0, err
	}
	s, end := l.store, time.After(wait)
	for {
		s.mu.Lock()
		rev, changed := s.rev, s.changed
		changes := s.history[min(after, rev):]
		s.mu.Unlock()
		switch {
		case l.out():
			directory.Pause(ctx, sourceSilence)
			return nil, 0, errCut
		case rev > after:
			return changes, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end:
			return nil, after, nil
		case <-changed:
		}
	}
}

func (l *link) Listed(ctx context.Context, id directory.InstanceID) (bool, error) {
	if err := l.through(ctx); err != nil {
		return false, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	_, ok := l.store.items[id]
	return ok, nil
}

// Since implements Peers for one node: a question to another one.
func (n *node) Since(ctx context.Context, at Addr, after directory.Revision, wait time.Duration) (directory.Delta, error) {
	f, o := n.fleet, n.fleet.nodes[at]
	f.messages.Add(1)
	switch {
	case o == nil || !o.alive:
		directory.Pause(ctx, 2*wayTime)
		return directory.Delta{}, errCut
	case f.apart(n, o):
		directory.Pause(ctx, peerSilence)
		return directory.Delta{}, errCut
	}
	directory.Pause(ctx, wayTime)
	o.Wanted()
	x := o.dir.Await(ctx, after, wait)
	if f.apart(n, o) {
		directory.Pause(ctx, peerSilence)
		return directory.Delta{}, errCut
	}
	if !o.dir.Listed() || !o.alive {
		return directory.Delta{}, errCut
	}
	b, err := directory.Encode(x)
	if err != nil {
		return directory.Delta{}, err
	}
	f.messages.Add(1)
	f.bytes.Add(int64(len(b)))
	directory.Pause(ctx, wayTime)
	return directory.Decode(b)
}

// newFleet starts so many nodes, spread over data centres, whose instances
// are all listed; three of them are seeds.
func newFleet(nodes, dcs int) *fleet {
	f := &fleet{store: newStore(), nodes: map[Addr]*node{}}
	for i := range nodes {
		ip := fmt.Sprintf("10.%d.%d.%d", 1+i%dcs, i/dcs/200, 1+i/dcs%200)
		dc := callgraph.DC(fmt.Sprint("dc-", i%dcs))
		n := &node{fleet: f, link: &link{fleet: f, dc: dc, store: f.store}, addr: Addr(ip + ":7")}
		n.in = directory.Instance{ID: directory.InstanceID(fmt.Sprint("i-", i)), Service: "archiv", DC: dc, Addr: ip + ":80", Slots: 4}
		f.nodes[n.addr] = n
		f.order = append(f.order, n)
		if len(f.seeds) < 3 {
			f.seeds = append(f.seeds, n.addr)
		}
		f.store.put(n.in)
	}
	for _, n := range f.order {
		n.start()
	}
	return f
}

func (n *node) start() {
	ctx, stop := context.WithCancel(context.Background())
	n.dir, n.stop, n.alive = directory.New(directory.Usual(quiet)), stop, true
	n.Member = New(Config{Directory: n.dir, Source: n.link, Peers: n, Self: n.addr, DC: n.in.DC, Seeds: n.fleet.seeds, Log: quiet,
		Beside: func(in directory.Instance) (Addr, error) { return Addr(in.Addr[:len(in.Addr)-1-2] + ":7"), nil }})
	go n.Run(ctx)
}

func (n *node) kill() {
	n.alive = false
	n.stop()
}

func (f *fleet) close() {
	for _, n := range f.order {
		n.stop()
	}
}

// behind names the nodes alive and not cut off that do not know all.
func (f *fleet) behind() []string {
	var out []string
	rev := f.store.revision()
	for _, n := range f.order {
		if n.alive && !n.link.cut.Load() && n.dir.Revision() < rev {
			out = append(out, fmt.Sprintf("%s: reads %t, cut off %t, turned away %t, age %v", n.addr, n.Reads(), n.link.silent.Load(), n.link.turned.Load(), n.dir.Age()))
		}
	}
	return out
}

// readersOf are the nodes of a data centre that read the store.
func (f *fleet) readersOf(dc callgraph.DC) []*node {
	var out []*node
	for _, n := range f.order {
		if n.in.DC == dc && n.alive && n.Reads() {
			out = append(out, n)
		}
	}
	return out
}

// differs says how what a node lists differs from what the store listed at
// the node's revision; empty if it does not.
func (n *node) differs() string {
	x := n.dir.Since(0)
	n.fleet.store.mu.Lock()
	want := maps.Clone(n.fleet.store.states[x.Revision])
	n.fleet.store.mu.Unlock()
	for _, in := range x.Instances {
		if want[in.ID] != in.Revision {
			return fmt.Sprintf("%s at %d: lists %s of %d, the store that of %d", n.addr, x.Revision, in.ID, in.Revision, want[in.ID])
		}
		delete(want, in.ID)
	}
	if len(want) > 0 {
		return fmt.Sprintf("%s at %d: lacks %v", n.addr, x.Revision, want)
	}
	return ""
}
