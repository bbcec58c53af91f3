package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/balance"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/membership"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/slots"
	"github.com/oatpin/oatpin/targetconn"
	"github.com/oatpin/oatpin/timeline"
	"github.com/oatpin/oatpin/vouch"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
)

const (
	// firstSlots is taken for a target that is not listed yet.
	firstSlots = 16
	// headerWait bounds how long a caller may take for its header.
	headerWait = 5 * time.Second
	// idleWait is how long a caller's idle connection is kept; longer than
	// any limit an operator sets, so that callers who reuse connections
	// within theirs never meet our close.
	idleWait = time.Minute
	// headerBytes bounds a caller's header.
	headerBytes = 64 << 10
)

type (
	// Config is what a Node is built from.
	Config struct {
		Name    string // of this node, in its log lines and to its peers
		DC      callgraph.DC
		Service string // the service of the local target
		Target  string // host:port of the local target
		Callers string // host:port for callers on this VM and the local target's own calls
		Peer    string // host:port for other nodes; the port is the same on all VMs
		Control string // host:port at which nodes that know nothing ask; empty for none
		// Seeds are control addresses of other nodes, asked while the source
		// does not answer a node that knows nothing yet.
		Seeds   []string
		Ready   string // host:port for readiness questions
		Metrics string // host:port for metrics
		Headers call.Headers
		Tuning  Tuning
		// Policies are the decisions that are switched on; Usual for all.
		Policies Policies
		// Grace is how long the process may go on after it is told to stop.
		Grace     time.Duration
		Directory *directory.Directory
		// Source tells what the Directory knows; nil for a node that learns
		// it from its seeds, or is told otherwise.
		Source directory.Source
		Log    log.Interface
	}

	// Tuning is the part of a Config that can change while a Node runs.
	Tuning struct {
		// BodyBytes bounds the bodies of all requests held at once; 0 for no
		// bound.
		BodyBytes int64
		// Repeats bounds what is sent to a second instance.
		Repeats budget.WindowConfig
	}

	// Node is one running node.
	Node struct {
		cfg       Config
		log       log.Interface
		note      *timeline.Decisions
		dir       *directory.Directory
		balancer  *balance.Balancer
		gate      *slots.Gate
		work      *slots.Work // of the local target, by route
		pace      *slots.Pace // of the local target
		usual     *slots.Work // of whole requests that began here, by route
		meter     *admit.Meter
		health    balance.Health // of the local target
		board     *admit.Board
		costs     *admit.Costs // of whole requests that began here
		prospects *admit.Prospects
		admission admit.Admission
		levels    admit.Levels
		patience  admit.Wait // of a new request for its turn
		comeBack  admit.Wait // of a refused caller
		running   *running
		witness   *vouch.Witness // of the local instance
		asking    asking         // the nodes of unlisted instances
		ends      ends           // of the local target
		book      *quarantine.Book
		lane      *quarantine.Lane // to the local target
		telling   telling          // other nodes, what the book has of the local target's ends
		heard     heard            // what other nodes' books have told
		limiter   *account.Limiter
		exchange  *account.Exchange // of what is let in of accounts
		member    *membership.Member
		target    *targetconn.Pool
		peers     *wire.Pool
		peerPort  string
		stats     *stats
		wire      wire.Server
		callers   *http.Server
		ready     *http.Server
		own       ownFields
		// ownWithAccounts is for versions with client accounts.
		ownWithAccounts ownFields
		metrics         *http.Server

		draws    atomic.Uint64 // numbers the draws of split routes
		tuning   atomic.Pointer[Tuning]
		bodies   atomic.Int64 // bytes of callers' bodies held
		active   atomic.Int64 // callers' requests being answered
		catching atomic.Bool  // a peer is being asked for its snapshot
		vouching atomic.Bool  // the last word given for the local instance
		leaving  atomic.Int64 // unix nanoseconds of the stop's begin, 0 before
		self     atomic.Pointer[directory.Instance]

		mu      sync.Mutex
		windows map[string]*budget.Window // by service

		staying context.Context // ends when the stop begins
		leave   context.CancelFunc
		stop    chan struct{}
	}
)

// New builds a Node; Serve starts it.
func New(cfg Config) (*Node, error) {
	_, port, err := net.SplitHostPort(cfg.Peer)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %s", cfg.Peer)
	}
	n := &Node{
		cfg:      cfg,
		log:      cfg.Log,
		note:     timeline.NewDecisions(cfg.Log, cfg.Policies.decisionLines()),
		dir:      cfg.Directory,
		balancer: balance.New(cfg.Policies.balancer(cfg.DC)),
		gate:     slots.NewGate(firstSlots, cfg.Policies.order()),
		work:     slots.NewWork(),
		usual:    slots.NewWork(),
		pace:     slots.NewPace(),
		meter:    admit.NewMeter(firstSlots),
		board:    admit.NewBoard(),
		costs:    admit.NewCosts(),
		running:  newRunning(),
		target:   targetconn.NewPool(targetconn.Config{Addr: cfg.Target, Headers: cfg.Headers}),
		peerPort: port,
		stats:    newStats(cfg.Name),
		windows:  map[string]*budget.Window{},
		asking:   asking{starts: map[directory.Start]bool{}},
		lane:     quarantine.NewLane(),
		heard:    heard{upTo: map[membership.Addr]quarantine.Cursor{}},
		stop:     make(chan struct{}),

		own:             newOwnFields(cfg.Headers, false),
		ownWithAccounts: newOwnFields(cfg.Headers, true),
	}
	self, err := n.peerOf(directory.Instance{Addr: cfg.Target})
	if err != nil {
		return nil, err
	}
	n.staying, n.leave = context.WithCancel(context.Background())
	n.member = membership.New(n.membership(self))
	n.limiter = account.NewLimiter()
	n.exchange = n.newExchange()
	n.book = quarantine.NewBook(quarantine.Config{Off: !cfg.Policies.Quarantine, Log: cfg.Log})
	n.witness = vouch.NewWitness(vouch.Config{Listed: n.listed, Probe: n.probe, SourceLost: n.dir.SourceLost})
	byLoad := cfg.Policies.admission(n.board)
	n.prospects = admit.NewProspects(byLoad)
	n.admission = choose[admit.Admission](cfg.Policies.Prospects, n.prospects, byLoad)
	n.levels = cfg.Policies.levels(n.costs)
	n.patience, n.comeBack = cfg.Policies.patience(), cfg.Policies.comeBack()
	n.tuning.Store(&cfg.Tuning)
	n.peers = wire.NewPool(wire.PoolConfig{Log: cfg.Log, OnVersion: n.heardRevision, Trusting: !cfg.Policies.Suspicion})
	n.wire = wire.Server{Handler: n.servePeer, Version: n.revision}
	n.callers = &http.Server{Handler: http.HandlerFunc(n.serveCaller), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: headerBytes}
	n.ready = &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerWait}
	n.metrics = &http.Server{Handler: n.stats, ReadHeaderTimeout: headerWait}
	n.dir.OnChange(n.learn)
	n.stats.watch(n)
	return n, nil
}

// Serve listens on the configured addresses and runs until Shutdown.
func (n *Node) Serve() error {
	failed := make(chan error, 5)
	listen := func(addr string, serve func(net.Listener) error) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return eris.Wrapf(err, "listen %s", addr)
		}
		go func() { failed <- serve(l) }()
		go func() { <-n.stop; l.Close() }()
		return nil
	}
	if n.cfg.Control != "" {
		if err := listen(n.cfg.Control, n.wire.Serve); err != nil {
			return err
		}
	}
	for _, s := range []struct {
		addr  string
		serve func(net.Listener) error
	}{{n.cfg.Peer, n.wire.Serve}, {n.cfg.Callers, n.callers.Serve}, {n.cfg.Ready, n.ready.Serve}, {n.cfg.Metrics, n.metrics.Serve}} {
		if err := listen(s.addr, s.serve); err != nil {
			return err
		}
	}
	go n.peers.KeepAlive(n.stop)
	go n.learnUntilStop()
	n.log.WithFields(log.Fields{"callers": n.cfg.Callers, "peer": n.cfg.Peer, "service": n.cfg.Service}).Info("node_started")
	err := <-failed
	select {
	case <-n.stop:
		return nil
	default:
		return err
	}
}

// membership is what this node's part in reading the source is built from.
// self is how others know this node, by the address of the instance beside it:
// it may listen at another, or at any, and would then never find itself among
// those that are to read.
func (n *Node) membership(self wire.Peer) membership.Config {
	cfg := membership.Config{Directory: n.dir, Source: n.cfg.Source, Self: membership.Addr(self.Addr), DC: n.cfg.DC, Log: n.log}
	cfg.Beside = func(in directory.Instance) (membership.Addr, error) {
		p, err := n.peerOf(in)
		return membership.Addr(p.Addr), err
	}
	for _, s := range n.cfg.Seeds {
		cfg.Seeds = append(cfg.Seeds, membership.Addr(s))
	}
	cfg.Peers = choose[membership.Peers](n.cfg.Policies.Readers, n, nil)
	return cfg
}

func (n *Node) learnUntilStop() {
	ctx, cancel := context.WithCancel(context.Background())
	go n.member.Run(ctx)
	go n.exchange.Run(ctx)
	<-n.stop
	cancel()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.dir.View().Routes == nil || !n.dir.Listed() || n.leaving.Load() != 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) revision() uint64 { return uint64(n.dir.Revision()) }

func (n *Node) version() uint64 {
	if r := n.dir.View().Routes; r != nil {
		return uint64(r.Version)
	}
	return 0
}

// Shutdown stops the node gracefully, within its grace. It tells callers and
// peers at once that it is leaving, goes on serving what still comes, and
// ends when nothing is left to answer.
func (n *Node) Shutdown(context.Context) {
	began := time.Now()
	n.leaving.Store(began.UnixNano())
	n.leave()
	n.log.Info("node_leaving")
	last := began.Add(n.cfg.Grace * lastAnswerNum / lastAnswerDen)
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	for now := range t.C {
		idle := n.active.Load() == 0 && n.wire.InFlight() == 0
		if now.After(last) || (idle && now.Sub(began) > noticeTime) {
			break
		}
	}
	close(n.stop)
	ctx, cancel := context.WithTimeout(context.Background(), closeWait)
	defer cancel()
	if err := n.callers.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("callers_cut")
	}
	n.wire.CloseConns()
	n.peers.CloseAll()
	n.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("node_stopped")
}
