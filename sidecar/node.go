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
	"github.com/oatpin/oatpin/inbound"
	"github.com/oatpin/oatpin/memory"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/replication"
	"github.com/oatpin/oatpin/slots"
	"github.com/oatpin/oatpin/targetconn"
	"github.com/oatpin/oatpin/timeline"
	"github.com/oatpin/oatpin/vouch"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
)

const (
	// initialSlots is the slot limit of a target that is not in the directory
	// yet.
	initialSlots = 16
)

type (
	// Config is the configuration of a Node.
	Config struct {
		Name        string // name of this node in metrics
		DC          callgraph.DC
		Service     string // service of the local target
		TargetAddr  string // host:port of the local target
		CallerAddr  string // host:port that accepts requests from callers on this VM and from the local target
		PeerAddr    string // host:port that accepts requests from other nodes; the port is the same on all VMs
		ControlAddr string // host:port that accepts requests from nodes without a directory; empty for none
		// Seeds are control addresses of other nodes, queried for the
		// directory at startup while the directory source does not answer.
		Seeds       []string
		ReadyAddr   string // host:port of the readiness endpoint
		MetricsAddr string // host:port of the metrics endpoint
		Headers     call.Headers
		Tuning      Tuning
		// Policies selects the enabled policies.
		Policies Policies
		// ShutdownGrace is the time from Shutdown until the process is killed; not
		// positive if unknown.
		ShutdownGrace time.Duration
		// Quota is by how much accounts may exceed their rate limits.
		Quota     account.Tolerance
		Directory *directory.Directory
		// Source feeds the Directory. It is nil for a node that learns the
		// directory from its seeds or is updated by its owner.
		Source directory.Source
		Log    log.Interface
	}

	// Tuning is the part of the configuration that can change at run time.
	Tuning struct {
		// MaxHeldBodyBytes bounds the total size of request bodies held in memory, and
		// MaxHeldAnswerBytes that of answers; 0 means no bound. They are apart, since a
		// request holds its body until its answer has come: in one bound, each could
		// wait for the other.
		MaxHeldBodyBytes, MaxHeldAnswerBytes int64
		// MaxHeldHeadBytes bounds what the heads of callers' requests take in memory; 0
		// means no bound.
		MaxHeldHeadBytes int64
		Retries          budget.RetryWindowConfig // retry budget of each service
	}

	// Node is a running sidecar. New builds one.
	Node struct {
		cfg          Config
		log          log.Interface
		decisions    *timeline.LimitedLogger // rate-limited log of decisions on single requests
		dir          *directory.Directory
		balancer     *balance.Balancer
		gate         *slots.Gate
		targetTimes  *slots.MeanDurations     // execution times at the local target, by route
		slowdown     *slots.SlowdownEstimator // of the local target
		totalTimes   *slots.MeanDurations     // end-to-end times of requests that enter here, by route
		meter        *admit.DemandMeter       // computes the admission threshold of the local target
		health       balance.Health           // of the local target
		thresholds   *admit.ThresholdTable
		costs        *admit.RouteCosts // of requests that enter here
		successRates *admit.SuccessRateLimiter
		admission    admit.Admission
		levels       admit.LevelAssigner
		queueWait    admit.WaitFunc // limits the queueing of new requests
		retryAfter   admit.WaitFunc // Retry-After of refused requests
		running      *runningRequests
		vouchChecker *vouch.Checker // decides whether to vouch for the local instance
		vouchQueries pendingQueries // to the nodes of unlisted instances
		exits        exitDetector   // of the local target
		targetRate   targetRate     // rate limit that the local target states
		quarantine   *quarantine.Tracker
		isolation    *quarantine.IsolationLock // restricts concurrency at the local target
		reports      reportQueue               // outgoing quarantine reports
		peerCursors  cursorTable               // positions in the quarantine records of peers
		limiter      *account.Limiter
		exchange     *account.Exchange // shares account usage between nodes
		syncer       *replication.Syncer
		target       *targetconn.Pool
		peers        *wire.Pool
		peerPort     string
		stats        *stats
		peerServer   wire.Server
		callerServer *inbound.Server
		readyServer  *inbound.Server
		dropHeaders  headerSet
		// dropHeadersWithAccounts applies if the routes have client accounts.
		dropHeadersWithAccounts headerSet
		metricsServer           *inbound.Server

		splits         splitDraws
		tuning         atomic.Pointer[Tuning]
		held           memory.Account // request bodies
		heldAnswers    memory.Account // bodies of answers
		awaited        memory.Account // expected large answers of requests in progress
		answerSizes    answerSizes
		activeRequests atomic.Int64 // requests from callers in progress
		catchingUp     atomic.Bool  // a catch-up from a peer is in progress
		lastVouch      atomic.Bool  // last result of vouching for the local instance
		// drainStart is nil before shutdown. Its reading of the monotonic clock is kept:
		// the wall clock may be set during a stop.
		drainStart atomic.Pointer[time.Time]
		drain      drainPolicy
		deadlines  latestDeadline // of the requests accepted
		refuseNew  atomic.Bool    // the node closes its connections
		heads      inbound.Heads  // of requests from callers
		self       atomic.Pointer[directory.Instance]
		targetRun  atomic.Pointer[directory.Incarnation] // run of the local target that was last listed

		mu           sync.Mutex
		retryBudgets map[string]*budget.RetryWindow // by service

		untilDrain context.Context // canceled when shutdown begins
		startDrain context.CancelFunc
		stop       chan struct{}
	}
)

// New returns a Node that is not running yet; Serve starts it.
func New(cfg Config) (*Node, error) {
	_, port, err := net.SplitHostPort(cfg.PeerAddr)
	if err != nil {
		return nil, eris.Wrapf(err, "peer address %s", cfg.PeerAddr)
	}
	n := &Node{
		cfg:          cfg,
		log:          cfg.Log,
		decisions:    timeline.NewLimitedLogger(cfg.Log, cfg.Policies.decisionLogRate()),
		dir:          cfg.Directory,
		balancer:     balance.New(cfg.Policies.balancer(cfg.DC)),
		gate:         slots.NewGate(initialSlots, cfg.Policies.queueOrder()),
		targetTimes:  slots.NewMeanDurations(),
		totalTimes:   slots.NewMeanDurations(),
		slowdown:     slots.NewSlowdownEstimator(),
		meter:        admit.NewDemandMeter(initialSlots),
		thresholds:   admit.NewThresholdTable(),
		costs:        admit.NewRouteCosts(),
		running:      newRunningRequests(),
		peerPort:     port,
		stats:        newStats(cfg.Name),
		retryBudgets: map[string]*budget.RetryWindow{},
		vouchQueries: pendingQueries{pending: map[directory.Incarnation]bool{}},
		isolation:    quarantine.NewIsolationLock(),
		peerCursors:  cursorTable{cursors: map[replication.Addr]quarantine.Cursor{}},
		stop:         make(chan struct{}),
		drain:        drainPolicy{grace: cfg.ShutdownGrace},

		dropHeaders:             newDropHeaders(cfg.Headers, false),
		dropHeadersWithAccounts: newDropHeaders(cfg.Headers, true),
	}
	self, err := n.peerFor(directory.Instance{Addr: cfg.TargetAddr})
	if err != nil {
		return nil, err
	}
	n.target = targetconn.NewPool(targetconn.Config{Addr: cfg.TargetAddr, Headers: cfg.Headers, OnTrailing: n.recordTrailing, Memory: &n.heldAnswers})
	n.targetRate.gate = n.gate
	n.untilDrain, n.startDrain = context.WithCancel(context.Background())
	n.syncer = replication.New(n.syncerConfig(self))
	n.limiter = account.NewLimiter(cfg.Quota)
	n.exchange = n.newExchange()
	n.quarantine = quarantine.NewTracker(quarantine.Config{Disabled: !cfg.Policies.Quarantine, Log: cfg.Log})
	n.vouchChecker = vouch.NewChecker(vouch.Config{Listed: n.listed, Probe: n.probe, LastSourceFailure: n.dir.LastSourceFailure})
	loadAdmission := cfg.Policies.admission(n.thresholds)
	n.successRates = admit.NewSuccessRateLimiter(loadAdmission)
	n.admission = choose[admit.Admission](cfg.Policies.SuccessRates, n.successRates, loadAdmission)
	n.levels = cfg.Policies.levels(n.costs)
	n.queueWait, n.retryAfter = cfg.Policies.queueWait(), cfg.Policies.retryAfter()
	n.setTuning(&cfg.Tuning)
	n.peers = wire.NewPool(wire.PoolConfig{Log: cfg.Log, OnVersion: n.onPeerRevision, DisableSuspicion: !cfg.Policies.Suspicion, Memory: &n.heldAnswers})
	n.peerServer = wire.Server{Handler: n.servePeer, Version: n.revision, Log: cfg.Log, Memory: &n.held, MaxSilentConns: inbound.MaxSilentConns()}
	n.callerServer = inbound.NewServer(inbound.Config{Handler: http.HandlerFunc(n.serveCaller), Limits: n.callerLimits,
		Heads: &n.heads, OnRefused: n.recordRefusedHead, ErrorLog: newServerLog(cfg.Log)})
	n.readyServer = n.newOperatorServer(http.HandlerFunc(n.serveReady))
	n.metricsServer = n.newOperatorServer(n.stats)
	n.dir.OnChange(n.applyView)
	n.stats.registerGauges(n)
	return n, nil
}

// Serve listens on the configured addresses and serves until Shutdown.
func (n *Node) Serve() error {
	failed := make(chan error, 5)
	for _, p := range n.ports() {
		l, err := p.listen(p.addr)
		if err != nil {
			return eris.Wrapf(err, "listen %s", p.addr)
		}
		l = wire.NewListener(l, n.log)
		go func() { failed <- p.serve(l) }()
		go func() { <-n.stop; l.Close() }()
	}
	go n.peers.KeepAlive(n.stop)
	go n.runBackground()
	n.log.WithFields(log.Fields{"callers": n.cfg.CallerAddr, "peer": n.cfg.PeerAddr, "service": n.cfg.Service, "grace_ms": n.cfg.ShutdownGrace.Milliseconds(), "max_callers": n.callerServer.MaxConns()}).Info("node_started")
	err := <-failed
	select {
	case <-n.stop:
		return nil
	default:
		return err
	}
}

// syncerConfig returns the configuration of the node's Syncer. self is the
// address at which other nodes reach this one, derived from its instance. The
// listen address may differ from it (such as 0.0.0.0); a node that used it as
// its own would not recognize itself as a reader of the directory source.
func (n *Node) syncerConfig(self wire.Peer) replication.Config {
	cfg := replication.Config{Directory: n.dir, Source: n.cfg.Source, Self: replication.Addr(self.Addr), DC: n.cfg.DC, Log: n.log}
	cfg.NodeAddr = func(in directory.Instance) (replication.Addr, error) {
		p, err := n.peerFor(in)
		return replication.Addr(p.Addr), err
	}
	for _, s := range n.cfg.Seeds {
		cfg.Seeds = append(cfg.Seeds, replication.Addr(s))
	}
	cfg.Peers = choose[replication.Peers](n.cfg.Policies.Readers, n, nil)
	return cfg
}

func (n *Node) runBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	go n.syncer.Run(ctx)
	go n.exchange.Run(ctx)
	<-n.stop
	cancel()
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if n.dir.View().Routes == nil || !n.dir.HasSnapshot() || n.drainStart.Load() != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) revision() uint64 { return uint64(n.dir.Revision()) }

func (n *Node) routesVersion() uint64 {
	if r := n.dir.View().Routes; r != nil {
		return uint64(r.Version)
	}
	return 0
}
