package replication

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

const (
	// pollWait is the long-poll timeout of a poll to a reader. Nodes poll their
	// readers in rotation, so a change that one reader missed is received from
	// the next within a second. All nodes must have a change within two.
	pollWait = time.Second
	// pollWaitSourceDown is the long-poll timeout used by a reader while its
	// source does not answer, and by a follower of readers that have lost it. It
	// has to be short: the age of what a reader's followers know includes this wait,
	// and they consider the source unreachable after 2.5 s.
	pollWaitSourceDown = 300 * time.Millisecond
	// bootstrapTimeout is how long a starting node tries to get a snapshot from
	// its seeds before it reads the source itself. It keeps a start of all
	// nodes from loading the source with every node's calls, and bounds the
	// time in which the node cannot serve.
	bootstrapTimeout = time.Second
	// maxFailedPolls is after how many failed polls in a row a node reads the source
	// itself. Two readers of a data centre may be lost at once.
	maxFailedPolls = 3
	// wholeStateInterval is how often a node asks for everything while only nodes of
	// the former version answer it. Readers are polled in rotation, so another one has
	// answered by then.
	wholeStateInterval = 2 * pollWait
	// bootstrapRetryDelay is the pause after a seed that did not answer; it may
	// still be starting. All nodes start within about 0.3 s of each other.
	bootstrapRetryDelay = 50 * time.Millisecond
)

type (
	// Peers polls other nodes.
	Peers interface {
		// Since returns what the node at an address knows beyond a position; the
		// node may hold the call for up to wait until there is something. An error
		// means that the node cannot be reached or knows nothing yet.
		Since(ctx context.Context, at Addr, p directory.Position, wait time.Duration) (directory.Delta, error)
	}

	// Config holds the dependencies and settings of a Syncer.
	Config struct {
		Directory *directory.Directory
		// Source is read by this node while it is a reader; nil if this node
		// never reads a source.
		Source directory.Source
		// Peers polls other nodes; nil for a node that always reads the source
		// itself.
		Peers Peers
		Self  Addr
		DC    callgraph.DC
		// NodeAddr returns the address of the node that serves an instance.
		NodeAddr func(directory.Instance) (Addr, error)
		Seeds    []Addr // polled while no readers are known
		Log      log.Interface
	}

	// Syncer keeps the Directory of one node up to date.
	Syncer struct {
		cfg         Config
		dir         *directory.Directory
		log         log.Interface
		reader      *directory.Reader
		backoff     directory.Backoff // of the source
		peerWaiting chan struct{}     // capacity 1; signalled when another node polls this one

		counters counters

		// round counts the polls. Only the goroutine of Run uses round,
		// failedPolls, silent, stale and peerRoutes.
		round       int
		failedPolls int          // in a row
		silent      peerBackoffs // nodes that did not answer
		stale       peerBackoffs // nodes that have lost the source
		peerRoutes  peerRoutes

		mu              sync.Mutex
		view            *directory.View // from which ranking was built
		ranking         *ranking
		isReader        bool // the role last set
		readLoopRunning bool // may stay true until a pending call has ended
	}
)

// New returns a Syncer; Run starts it.
func New(cfg Config) *Syncer {
	s := &Syncer{cfg: cfg, dir: cfg.Directory, log: cfg.Log, peerWaiting: make(chan struct{}, 1), round: rand.IntN(minReaders), silent: peerBackoffs{}, stale: peerBackoffs{}}
	if cfg.Source != nil {
		var readers func() int
		if cfg.Peers != nil {
			readers = func() int { return s.currentRanking().totalReaders() }
		}
		s.reader = s.dir.NewReader(cfg.Source, readers)
	}
	return s
}

// Self returns the address under which this node appears in the ranking.
func (s *Syncer) Self() Addr { return s.cfg.Self }

// Run keeps the Directory up to date until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	go s.dir.RunExpiry(ctx)
	s.bootstrap(ctx)
	if s.reader == nil {
		return
	}
	for ctx.Err() == nil {
		readers := s.localReaders(s.skipped)
		isReader := s.cfg.Peers == nil || len(readers) == 0 || slices.Contains(readers, s.cfg.Self) || s.isCutOff()
		s.setReader(ctx, isReader)
		s.round++
		switch {
		case !isReader && !s.dir.SourceUnreachable():
			s.pollOneOf(ctx, readers, s.round, pollWait)
		case !isReader:
			s.pollOneOf(ctx, s.localReaders(s.skippedNow), s.round/2, pollWaitSourceDown)
		case s.dir.ReadsSource():
			s.pollOneOf(ctx, s.readerPeers(), s.round/2, pollWait)
		default:
			s.pollOneOf(ctx, s.readerPeers(), s.round/2, pollWaitSourceDown)
		}
	}
}

// isCutOff reports whether this node seems to reach no other node. It then reads
// the source: in a large data centre it would take until after a change is due to
// ask all nodes that rank before it, and the first are asked again by then.
func (s *Syncer) isCutOff() bool { return s.failedPolls >= maxFailedPolls }

// PeerPolled records that another node polled this one. A node without a
// snapshot then stops waiting for its seeds; otherwise nodes that start
// together would wait for each other. It is safe for concurrent use.
func (s *Syncer) PeerPolled() {
	if s.dir.HasSnapshot() {
		return
	}
	select {
	case s.peerWaiting <- struct{}{}:
	default:
	}
}

// currentRanking returns the ranking of the nodes in the current view.
func (s *Syncer) currentRanking() *ranking {
	v := s.dir.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != v {
		s.view, s.ranking = v, newRanking(v, s.cfg.NodeAddr)
	}
	return s.ranking
}

// skipped reports whether a node is passed over as a reader, so that the next in rank
// order take its place: it does not answer, or it has lost the source, which may
// reject all readers and serve the others.
func (s *Syncer) skipped(a Addr) bool {
	now := time.Now()
	return s.silent.blocked(a, now) || s.stale.blocked(a, now)
}

// skippedNow is like skipped for this round's poll. In every second one it spares
// nodes that have lost the source: they still have what nodes report to each other.
func (s *Syncer) skippedNow(a Addr) bool {
	if s.round%2 == 0 {
		return s.silent.blocked(a, time.Now())
	}
	return s.skipped(a)
}

// localReaders returns the readers of this data centre as seen from this node,
// without those for which skip is true; this node is never skipped.
func (s *Syncer) localReaders(skip func(Addr) bool) []Addr {
	return s.currentRanking().readers(s.cfg.DC, func(a Addr) bool { return a != s.cfg.Self && skip(a) })
}

// OtherReaders returns the readers of all data centres except this node. Some
// may be down.
func (s *Syncer) OtherReaders() []Addr {
	r := s.currentRanking()
	var all []Addr
	for dc := range r.nodes {
		all = append(all, r.readers(dc, func(a Addr) bool { return a == s.cfg.Self })...)
	}
	return all
}

// setReader starts or ends this node's role as a reader.
func (s *Syncer) setReader(ctx context.Context, isReader bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReader == isReader {
		return
	}
	s.isReader = isReader
	s.log.WithFields(log.Fields{"reads": isReader, "revision": s.dir.Revision()}).Info("reader_changed")
	if isReader && !s.readLoopRunning {
		s.readLoopRunning = true
		go s.readLoop(ctx)
	}
}

// readLoop calls the source repeatedly while this node is a reader.
func (s *Syncer) readLoop(ctx context.Context) {
	for s.continueReading(ctx) {
		err := s.reader.Step(ctx)
		s.counters.countSourceCall(err)
		if err != nil {
			s.backoff.Wait(ctx)
		} else {
			s.backoff.Reset()
		}
	}
}

// continueReading reports whether readLoop is to make another call. If not, it
// marks the loop as ended.
func (s *Syncer) continueReading(ctx context.Context) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReader && ctx.Err() == nil {
		return true
	}
	s.readLoopRunning = false
	s.dir.StopReading()
	return false
}

// readerPeers returns the nodes that a reader polls, because the source may
// miss notifying it, reject it or be unreachable: the readers of its own data
// centre and, every second time, the first reader of each other one. Polling
// the remote ones first would cost seconds if they are partitioned. Without any
// it returns the seeds.
func (s *Syncer) readerPeers() []Addr {
	skip := func(a Addr) bool { return a == s.cfg.Self || s.skippedNow(a) }
	r := s.currentRanking()
	local := r.readers(s.cfg.DC, skip)
	var remote []Addr
	for _, dc := range r.otherDCs(s.cfg.DC) {
		if readers := r.readers(dc, skip); len(readers) > 0 {
			remote = append(remote, readers[0])
		}
	}
	switch {
	case len(remote) > 0 && (len(local) == 0 || s.round%2 == 0):
		return remote
	case len(local) > 0:
		return local
	}
	return slices.DeleteFunc(slices.Clone(s.cfg.Seeds), skip)
}

// pollOneOf polls one of nodes, selected by round.
func (s *Syncer) pollOneOf(ctx context.Context, nodes []Addr, round int, wait time.Duration) {
	if s.cfg.Peers == nil || len(nodes) == 0 {
		directory.Pause(ctx, wait)
		return
	}
	s.poll(ctx, nodes[round%len(nodes)], wait)
}

// poll asks a node for what this one does not know and applies the answer. A
// node that does not answer, or has lost the source, is skipped until its backoff
// ends.
func (s *Syncer) poll(ctx context.Context, at Addr, wait time.Duration) {
	delta, err := s.cfg.Peers.Since(ctx, at, s.position(), wait)
	if ctx.Err() != nil {
		return
	}
	s.counters.countPeerPoll(err)
	if err != nil {
		s.failedPolls++
		if s.silent.recordFailure(at, time.Now()) {
			s.log.WithField("peer", at).WithError(err).Info("reader_passed_over")
		}
		return
	}
	s.failedPolls = 0
	s.recordAnswer(at, delta)
	s.peerRoutes.record(delta, time.Now())
	s.dir.ApplyDelta(delta)
}

// recordAnswer takes note of a node that answered.
func (s *Syncer) recordAnswer(at Addr, x directory.Delta) {
	s.silent.recordSuccess(at)
	if !x.SourceLost() {
		s.stale.recordSuccess(at)
		return
	}
	if s.stale.recordFailure(at, time.Now()) {
		s.log.WithFields(log.Fields{"peer": at, "age_ms": x.Age.Milliseconds()}).Info("reader_without_source")
	}
}

// position returns the position from which to ask another node.
func (s *Syncer) position() directory.Position {
	p := s.dir.Position()
	if !s.dir.ReadsSource() && s.peerRoutes.unknown(time.Now()) {
		p.Revision = 0
	}
	return p
}

// bootstrap polls the seeds until one has answered with a snapshot, another
// node polls this one, or, for a node that can read the source,
// bootstrapTimeout has passed.
func (s *Syncer) bootstrap(ctx context.Context) {
	if s.cfg.Peers == nil || len(s.cfg.Seeds) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if s.reader != nil {
		end := time.AfterFunc(bootstrapTimeout, cancel)
		defer end.Stop()
	}
	go func() {
		select {
		case <-s.peerWaiting:
			cancel()
		case <-ctx.Done():
		}
	}()
	for i := rand.IntN(len(s.cfg.Seeds)); ctx.Err() == nil && !s.dir.HasSnapshot(); i++ {
		at := s.cfg.Seeds[i%len(s.cfg.Seeds)]
		delta, err := s.cfg.Peers.Since(ctx, at, directory.Position{}, bootstrapTimeout)
		s.counters.countPeerPoll(err)
		if err != nil {
			directory.Pause(ctx, bootstrapRetryDelay)
			continue
		}
		s.dir.ApplyDelta(delta)
	}
}

// Collectors returns the nodes that collect the usage of client accounts, which
// are the highest-ranked of this data centre and of each other one, and the
// number of nodes in all data centres. All nodes with the same view return the
// same ones.
func (s *Syncer) Collectors() (own []Addr, others [][]Addr, total int) {
	r := s.currentRanking()
	for _, dc := range r.otherDCs(s.cfg.DC) {
		others = append(others, r.collectors(dc))
	}
	for _, all := range r.nodes {
		total += len(all)
	}
	return r.collectors(s.cfg.DC), others, total
}
