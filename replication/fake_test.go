package replication

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// sourceLatency is the response time of the source; peerLatency is the
	// one-way latency between nodes.
	sourceLatency = 4 * time.Millisecond
	peerLatency   = 2 * time.Millisecond
	// peerTimeout and sourceTimeout are how long a call takes to fail when the
	// other side is silent, as pings and keep-alive probes detect it.
	peerTimeout   = 700 * time.Millisecond
	sourceTimeout = 3 * time.Second
)

var (
	errUnreachable = errors.New("unreachable")
	errRejected    = errors.New("rejected by the store")
	discardLog     = &log.Logger{Handler: discard.New()}
)

type (
	// fakeStore is a source shared by many nodes. It keeps its whole history, but may
	// refuse to return the older part.
	fakeStore struct {
		mu        sync.Mutex
		era       directory.Era
		counter   uint64
		items     map[directory.InstanceID]directory.Instance
		routes    *directory.Routes
		written   callgraph.Version  // newest version that the operator wrote
		history   []directory.Change // counter i+1 is at index i
		oldest    uint64             // watches from earlier counters fail
		stateAt   map[directory.Revision]map[directory.InstanceID]directory.Revision
		versionAt map[directory.Revision]callgraph.Version
		loadGap   time.Duration // between the reads of the instances and of the routes
		changed   chan struct{}
		calls     atomic.Int64
		loads     atomic.Int64 // calls of Load among them
	}

	// link is the connection of one node. It implements directory.Source for
	// that node.
	link struct {
		fleet            *fleet
		dc               callgraph.DC
		store            *fakeStore
		storeUnreachable atomic.Bool // the store does not answer the node
		storeRejects     atomic.Bool // the store rejects the node's calls
		isolated         atomic.Bool // the node reaches neither the store nor other nodes
		peersUnreachable atomic.Bool // the node reaches the store but no other node
	}

	// node is a Syncer with its link and lifecycle. Only the goroutine of the
	// test starts and kills it; other nodes read what that changes by running.
	node struct {
		fleet  *fleet
		link   *link
		addr   Addr
		in     directory.Instance
		former bool          // it behaves as one of the former version towards others
		noted  atomic.Uint64 // revision at which it noted its version of the routes

		mu sync.Mutex // guards the following fields
		*Syncer
		dir   *directory.Directory
		stop  context.CancelFunc
		alive bool
	}

	// fleet is all nodes of a deployment and their store.
	fleet struct {
		store      *fakeStore
		mu         sync.Mutex
		isolatedDC callgraph.DC // partitioned from the other data centres and the store; empty for none
		nodes      map[Addr]*node
		order      []*node
		seeds      []Addr
		messages   atomic.Int64
		bytes      atomic.Int64
	}
)

func newFakeStore() *fakeStore {
	return &fakeStore{items: map[directory.InstanceID]directory.Instance{}, changed: make(chan struct{}), loadGap: sourceLatency,
		stateAt: map[directory.Revision]map[directory.InstanceID]directory.Revision{0: {}}, versionAt: map[directory.Revision]callgraph.Version{}}
}

// at returns the revision of a counter in the current era; s.mu must be held.
func (s *fakeStore) at(counter uint64) directory.Revision {
	r, err := directory.NewRevision(s.era, counter)
	if err != nil {
		panic(err)
	}
	return r
}

// restore loses the latest changes and begins the next era, in which their
// counters are assigned again.
func (s *fakeStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counter -= min(uint64(lost), s.counter)
	s.era++
	s.oldest = min(s.oldest, s.counter)
	s.history = slices.Clone(s.history[:s.counter])
	s.routes = nil
	clear(s.items)
	for i, c := range s.history {
		if c.Routes != nil {
			s.routes = c.Routes
		} else if c.Instance == nil {
			c.RemovedAt = s.at(c.RemovedAt.Counter())
			delete(s.items, c.Removed)
		} else {
			in := *c.Instance
			in.Revision, in.FirstRevision = s.at(in.Revision.Counter()), s.at(in.FirstRevision.Counter())
			s.items[in.ID], c.Instance = in, &in
		}
		s.history[i] = c
	}
	s.recordState()
	s.wake()
}

// wake ends the waits of all watches; s.mu must be held.
func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put adds or updates an instance and wakes all watches.
func (s *fakeStore) put(in directory.Instance) {
	s.putWithoutNotify(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wake()
}

// writeRoutes makes the operator write a new version of the routes.
func (s *fakeStore) writeRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written++
	s.putRoutes(s.written)
}

// rewriteRoutes makes the operator write its newest version again if the store has
// lost it.
func (s *fakeStore) rewriteRoutes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.version() < s.written {
		s.putRoutes(s.written)
	}
}

// putRoutes stores a version and wakes all watches; s.mu must be held.
func (s *fakeStore) putRoutes(v callgraph.Version) {
	s.routes = fakeRoutes(v)
	s.record(directory.Change{Routes: s.routes})
	s.wake()
}

func fakeRoutes(v callgraph.Version) *directory.Routes {
	r, err := directory.NewRoutes(v, directory.Limits{}, []directory.Route{{Name: "read", Host: "h", Prefix: "/", MaxInstances: 1, Shares: []directory.Share{{Service: "archiv", Weight: 1}}}})
	if err != nil {
		panic(err)
	}
	return r
}

// version returns the version that is stored; s.mu must be held.
func (s *fakeStore) version() callgraph.Version {
	if s.routes == nil {
		return 0
	}
	return s.routes.Version
}

// forget makes an instance write its entry without waking watches, and then
// discards the history.
func (s *fakeStore) forget(in directory.Instance) {
	s.putWithoutNotify(in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.counter
	s.wake()
}

// setLoadGap sets the time between the reads of a load.
func (s *fakeStore) setLoadGap(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loadGap = d
}

// putWithoutNotify is put without waking watches; only a later call returns the
// change.
func (s *fakeStore) putWithoutNotify(in directory.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in.Revision = s.at(s.counter + 1)
	if old, ok := s.items[in.ID]; ok {
		in.FirstRevision = old.FirstRevision
	} else {
		in.FirstRevision = in.Revision
	}
	s.items[in.ID] = in
	s.record(directory.Change{Instance: &in})
}

func (s *fakeStore) remove(id directory.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[id]; !ok {
		return
	}
	delete(s.items, id)
	s.record(directory.Change{Removed: id, RemovedAt: s.at(s.counter + 1)})
	s.wake()
}

func (s *fakeStore) record(c directory.Change) {
	s.counter++
	s.history = append(s.history, c)
	s.recordState()
}

func (s *fakeStore) recordState() {
	state := make(map[directory.InstanceID]directory.Revision, len(s.items))
	for id, in := range s.items {
		state[id] = in.Revision
	}
	s.stateAt[s.at(s.counter)] = state
	s.versionAt[s.at(s.counter)] = s.version()
}

func (s *fakeStore) revision() directory.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at(s.counter)
}

// cutFromStore reports whether the store does not answer the node.
func (l *link) cutFromStore() bool {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	return l.storeUnreachable.Load() || l.isolated.Load() || l.fleet.isolatedDC == l.dc
}

// cutOff reports whether the node reaches no other node.
func (l *link) cutOff() bool { return l.isolated.Load() || l.peersUnreachable.Load() }

// partitioned reports whether two nodes cannot reach each other.
func (f *fleet) partitioned(a, b *node) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	acrossDCs := a.in.DC != b.in.DC && (f.isolatedDC == a.in.DC || f.isolatedDC == b.in.DC)
	return acrossDCs || a.link.cutOff() || b.link.cutOff()
}

func (f *fleet) isolateDC(dc callgraph.DC) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isolatedDC = dc
}

// roundTrip waits for the duration of one call to the store and returns its
// transport error.
func (l *link) roundTrip(ctx context.Context) error {
	l.store.calls.Add(1)
	switch {
	case l.cutFromStore():
		directory.Pause(ctx, sourceTimeout)
		return errUnreachable
	case l.storeRejects.Load():
		directory.Pause(ctx, sourceLatency)
		return errRejected
	}
	directory.Pause(ctx, sourceLatency)
	return ctx.Err()
}

func (l *link) Load(ctx context.Context) (directory.Snapshot, error) {
	l.store.loads.Add(1)
	if err := l.roundTrip(ctx); err != nil {
		return directory.Snapshot{}, err
	}
	snap, gap := l.store.list()
	directory.Pause(ctx, gap)
	if err := l.roundTrip(ctx); err != nil {
		return directory.Snapshot{}, err
	}
	s := l.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era != snap.Revision.Era() {
		return directory.Snapshot{}, errRejected
	}
	snap.Routes = s.routes
	return snap, nil
}

// list returns the instances, and the time until the routes are read.
func (s *fakeStore) list() (directory.Snapshot, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := directory.Snapshot{Revision: s.at(s.counter)}
	for _, in := range s.items {
		snap.Instances = append(snap.Instances, in)
	}
	return snap, s.loadGap
}

// Watch returns errUnreachable after sourceTimeout if the store stops answering
// during the wait, and at once if it is restored. It knows only the counter of
// the revision to watch from, not its era.
func (l *link) Watch(ctx context.Context, after directory.Revision, wait time.Duration) ([]directory.Change, directory.Revision, error) {
	if err := l.roundTrip(ctx); err != nil {
		return nil, 0, err
	}
	s, end := l.store, time.After(wait)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		rev, changed := s.at(s.counter), s.changed
		changes := s.history[min(after.Counter(), s.counter):]
		forgotten := after.Counter() < s.oldest
		s.mu.Unlock()
		switch {
		case l.cutFromStore():
			directory.Pause(ctx, sourceTimeout)
			return nil, 0, errUnreachable
		case rev.Era() != era:
			return nil, 0, errUnreachable
		case after.Counter() > rev.Counter(), forgotten:
			return nil, 0, directory.ErrHistoryLost
		case len(changes) > 0:
			return changes, rev, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-end:
			return nil, rev, nil
		case <-changed:
		}
	}
}

func (l *link) Listed(ctx context.Context, id directory.InstanceID) (bool, directory.Era, error) {
	if err := l.roundTrip(ctx); err != nil {
		return false, 0, err
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	_, ok := l.store.items[id]
	return ok, l.store.era, nil
}

// Since implements Peers for one node.
func (n *node) Since(ctx context.Context, at Addr, p directory.Position, wait time.Duration) (directory.Delta, error) {
	f, o := n.fleet, n.fleet.nodes[at]
	f.messages.Add(1)
	switch {
	case o == nil || !o.isAlive():
		directory.Pause(ctx, 2*peerLatency)
		return directory.Delta{}, errUnreachable
	case f.partitioned(n, o):
		directory.Pause(ctx, peerTimeout)
		return directory.Delta{}, errUnreachable
	}
	directory.Pause(ctx, peerLatency)
	syncer, dir := o.running()
	syncer.PeerPolled()
	if n.former {
		p.Routes = 0
	}
	x := asFormer(dir.Await(ctx, p, wait), n, o, p.Revision)
	if f.partitioned(n, o) {
		directory.Pause(ctx, peerTimeout)
		return directory.Delta{}, errUnreachable
	}
	if _, dir := o.running(); !dir.HasSnapshot() || !o.isAlive() {
		return directory.Delta{}, errUnreachable
	}
	b, err := directory.Encode(x)
	if err != nil {
		return directory.Delta{}, err
	}
	f.messages.Add(1)
	f.bytes.Add(int64(len(b)))
	directory.Pause(ctx, peerLatency)
	return directory.Decode(b)
}

// asFormer changes the answer of a node to another one's question after a revision
// to what it is if one of the former version answers or asks: it tells of routes
// only by the revision at which it noted them, and takes them over only with a newer
// one. Those that read the store are taken to miss no version by what others tell.
func asFormer(x directory.Delta, asking, answering *node, after directory.Revision) directory.Delta {
	if _, d := asking.running(); asking.former && d.ReadsSource() {
		return x
	}
	if answering.former {
		x.RoutesVersion = 0
		if x.After != 0 && answering.notedRoutesAt() <= after {
			x.Routes = nil
		}
	}
	if asking.former && x.Revision <= after {
		x.Routes = nil
	}
	return x
}

// newFleet starts the given number of nodes, spread over dcs data centres, with
// all instances listed. The first three are the seeds.
func newFleet(nodes, dcs int) *fleet {
	f := &fleet{store: newFakeStore(), nodes: map[Addr]*node{}}
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
	f.store.writeRoutes()
	for _, n := range f.order {
		n.start()
	}
	return f
}

func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	n.dir, n.stop, n.alive = directory.New(directory.DefaultConfig(discardLog)), stop, true
	n.noted.Store(0)
	n.dir.OnChange(n.noteRoutes(n.dir))
	n.Syncer = New(Config{Directory: n.dir, Source: n.link, Peers: n, Self: n.addr, DC: n.in.DC, Seeds: n.fleet.seeds, Log: discardLog,
		NodeAddr: func(in directory.Instance) (Addr, error) { return Addr(in.Addr[:len(in.Addr)-1-2] + ":7"), nil }})
	go n.Run(ctx)
}

// noteRoutes returns a callback that notes the revision of each new version.
func (n *node) noteRoutes(d *directory.Directory) func(*directory.View) {
	var version callgraph.Version
	return func(v *directory.View) {
		if v.Routes != nil && v.Routes.Version > version {
			version = v.Routes.Version
			n.noted.Store(uint64(d.Revision()))
		}
	}
}

func (n *node) notedRoutesAt() directory.Revision { return directory.Revision(n.noted.Load()) }

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alive = false
	n.stop()
}

func (n *node) isAlive() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.alive
}

// running returns the Syncer and the Directory of the latest start.
func (n *node) running() (*Syncer, *directory.Directory) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Syncer, n.dir
}

func (f *fleet) close() {
	for _, n := range f.order {
		n.stop()
	}
}

// lagging describes the running, reachable nodes that are behind the store.
func (f *fleet) lagging() []string {
	var out []string
	rev := f.store.revision()
	for _, n := range f.order {
		if n.alive && !n.link.isolated.Load() && n.dir.Revision() < rev {
			out = append(out, fmt.Sprintf("%s: reader %t, store unreachable %t, rejected %t, age %v", n.addr, n.IsReader(), n.link.storeUnreachable.Load(), n.link.storeRejects.Load(), n.dir.Age()))
		}
	}
	return out
}

// readersOf returns the nodes of a data centre that read the store.
func (f *fleet) readersOf(dc callgraph.DC) []*node {
	var out []*node
	for _, n := range f.order {
		if n.in.DC == dc && n.alive && n.IsReader() {
			out = append(out, n)
		}
	}
	return out
}

// diff compares the list of a node with what the store listed at the same
// revision. It returns the first difference, or an empty string.
func (n *node) diff() string {
	x := n.dir.Since(directory.Position{})
	n.fleet.store.mu.Lock()
	want := maps.Clone(n.fleet.store.stateAt[x.Revision])
	n.fleet.store.mu.Unlock()
	for _, in := range x.Instances {
		if want[in.ID] != in.Revision {
			return fmt.Sprintf("%s at revision %d: lists %s at revision %d, want revision %d", n.addr, x.Revision, in.ID, in.Revision, want[in.ID])
		}
		delete(want, in.ID)
	}
	if len(want) > 0 {
		return fmt.Sprintf("%s at revision %d: missing %v", n.addr, x.Revision, want)
	}
	return ""
}

// version returns the version of the routes that the node holds; 0 for none.
func (n *node) version() callgraph.Version { return n.dir.Position().Routes }

// routesDiff returns how the version of a node is older than what the store listed
// at the node's revision; empty if it is not.
func (n *node) routesDiff() string {
	p := n.dir.Position()
	n.fleet.store.mu.Lock()
	want := n.fleet.store.versionAt[p.Revision]
	n.fleet.store.mu.Unlock()
	if p.Routes >= want {
		return ""
	}
	return fmt.Sprintf("%s at revision %v: has version %d, want %d", n.addr, p.Revision, p.Routes, want)
}
