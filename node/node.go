package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/answer"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
	"github.com/oatpin/oatpin/inbound"
	"github.com/oatpin/oatpin/owner"
	"github.com/oatpin/oatpin/route"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
)

const (
	// dedupWindow is how long a non-idempotent call's key is remembered; it
	// must exceed the operation timeouts, so that late client retries are
	// recognized.
	dedupWindow = 10 * time.Minute
	// dedupMaxAnswerBytes limits the total size of retained answers to a
	// quarter of the node's 128 MB.
	dedupMaxAnswerBytes = 32 << 20
	// drainGrace is how long a stopping node keeps refusing calls as leaving
	// before it waits for calls in flight, so that peers stop routing to it.
	drainGrace = 2 * time.Second
	// idlePollInterval is how often a stopping node checks for calls in
	// flight.
	idlePollInterval = 10 * time.Millisecond
)

var (
	// ErrNoInstance is the refusal reason when no instance of a service can
	// take a call.
	ErrNoInstance = eris.New("no instance available")
	// ErrUnknownOperation is the refusal reason for an operation that is not
	// in the configuration.
	ErrUnknownOperation = eris.New("operation not in the configuration text")
	// ErrMisrouted is the refusal reason for a call received from another
	// node that is for a different service or instance.
	ErrMisrouted = eris.New("meant for another instance")
)

type (
	// Config configures a Node.
	Config struct {
		Settings settings.Node
		Graph    *callgraph.Graph // initial configuration; nil to wait for the configuration service
		Log      log.Interface
		Client   *http.Client // for the local target, the configuration service and the HTTP API of peers; nil for a default
		// ClockSkew is the maximum clock difference between callers and nodes;
		// 0 when all run on one machine.
		ClockSkew time.Duration
		// Dial opens a connection to a peer; nil for TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Baseline disables admission control, key ownership checks and retry
		// budgets and retries any failure at every hop. For comparison
		// measurements only.
		Baseline bool
	}

	// Node is the proxy of one target. It is safe for concurrent use.
	Node struct {
		cfg               Config
		log               log.Interface
		applyMu           sync.Mutex // serializes Apply
		graph             atomic.Pointer[callgraph.Graph]
		table             *route.Table
		admission         *filter.Admission
		dedup             *filter.Dedup
		ownership         *owner.Arbiter
		budgets           *budget.Ledger
		leaving           atomic.Bool
		localChain        filter.Handler
		peers             *wire.Pool
		client            *http.Client
		policy            retryPolicy
		hopSeq            atomic.Uint64
		entryCalls        atomic.Int64  // client calls in flight
		fetchingConfig    atomic.Bool   // a configuration is being fetched from a peer
		configServiceDown atomic.Bool   // the latest configuration watch failed
		applied           chan struct{} // buffered, capacity 1: a configuration was applied
		stats             *stats

		wire     wire.Server
		http     *inbound.Server
		stop     chan struct{}
		stopOnce sync.Once
	}
)

// New returns a Node for cfg; Serve or ServeOn starts it.
func New(cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		log:       cfg.Log,
		table:     route.NewTable(cfg.Settings.DC),
		admission: filter.NewAdmission(1),
		dedup:     filter.NewDedup(dedupWindow, dedupMaxAnswerBytes),
		budgets:   budget.NewLedger(),
		client:    cfg.Client,
		applied:   make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	if n.log == nil {
		n.log = log.Log
	}
	if n.client == nil {
		n.client = answer.NewClient(&http.Transport{MaxIdleConnsPerHost: 256})
	}
	n.stats = newStats(cfg.Settings.Instance)
	n.peers = wire.NewPool(wire.PoolConfig{From: cfg.Settings.Instance, Log: n.log, OnVersion: func(p wire.Peer, v uint64) { n.onPeerVersion(p.Name, v) }, Dial: cfg.Dial})
	n.ownership = owner.NewArbiter(owner.Config{Instance: cfg.Settings.Instance, DedupWindow: dedupWindow, ClockSkew: cfg.ClockSkew, HasLeft: n.drainedBefore})
	n.localChain = filter.Chain(filter.HandlerFunc(n.callTarget),
		filter.Deadline(cfg.ClockSkew),
		n.dedup.Filter(),
		filter.KeyOwnership(n.ownership),
		filter.Drain(&n.leaving),
		n.admission.Filter(),
	)
	n.policy = budgetedPolicy{}
	if cfg.Baseline {
		n.localChain = filter.Chain(filter.HandlerFunc(n.callTarget), filter.Deadline(cfg.ClockSkew), filter.Drain(&n.leaving), n.dedup.Filter())
		n.policy = baselinePolicy{}
	}
	n.wire = wire.Server{Handler: n.servePeer, Version: n.version, OnVersion: n.onPeerVersion, Log: n.log, MaxSilentConns: inbound.MaxSilentConns()}
	n.http = inbound.NewServer(inbound.Config{Handler: n.routes()})
	if cfg.Graph != nil {
		n.Apply(cfg.Graph)
	}
	return n
}

// Serve listens on the configured addresses and serves until Shutdown. It
// waits out the clock skew first, so that keys created afterwards cannot
// appear older than this process. It returns nil after Shutdown.
func (n *Node) Serve() error {
	time.Sleep(time.Until(n.ownership.Started()))
	httpLn, err := inbound.ListenCallers(n.cfg.Settings.HTTP)
	if err != nil {
		return eris.Wrapf(err, "listen http %s", n.cfg.Settings.HTTP)
	}
	peerLn, err := net.Listen("tcp", n.cfg.Settings.Peer)
	if err != nil {
		httpLn.Close()
		return eris.Wrapf(err, "listen peer %s", n.cfg.Settings.Peer)
	}
	return n.ServeOn(httpLn, peerLn)
}

// ServeOn serves on the given HTTP and peer listeners until Shutdown, after
// which it returns nil.
func (n *Node) ServeOn(httpLn, peerLn net.Listener) error {
	go n.watchConfig()
	go n.watchVMs()
	go n.gossipConfig()
	go n.peers.KeepAlive(n.stop)
	go n.wire.Serve(wire.NewListener(peerLn, n.log))
	n.log.WithFields(log.Fields{"http": httpLn.Addr().String(), "peer": peerLn.Addr().String()}).Info("node_started")
	go func() { <-n.stop; peerLn.Close() }()
	err := n.http.Serve(wire.NewListener(httpLn, n.log))
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown drains the node: it refuses new calls as leaving, waits for calls
// in flight, then closes the listeners. The listeners stay open until then
// because the outbound calls of requests still in progress arrive through
// them. ctx bounds the wait; Shutdown returns the error of closing the HTTP
// server.
func (n *Node) Shutdown(ctx context.Context) error {
	n.leaving.Store(true)
	n.log.Info("node_leaving")
	select {
	case <-time.After(drainGrace):
	case <-ctx.Done():
	}
	n.waitIdle(ctx)
	n.stopOnce.Do(func() { close(n.stop) })
	err := n.http.Shutdown(ctx)
	n.wire.CloseConns()
	n.peers.Close()
	n.log.Info("node_stopped")
	return err
}

// waitIdle waits until no client or peer call is in flight or ctx is done.
func (n *Node) waitIdle(ctx context.Context) {
	t := time.NewTicker(idlePollInterval)
	defer t.Stop()
	for n.entryCalls.Load() > 0 || n.wire.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Ready reports whether the node can serve every call: it has a configuration,
// has read the VM list (required for calls with an idempotency key), has waited
// out the clock skew and is not leaving.
func (n *Node) Ready() bool {
	return n.graph.Load() != nil && n.ownership.VMListRead() && !n.leaving.Load() && !time.Now().Before(n.ownership.Started())
}

// Graph returns the active configuration, or nil.
func (n *Node) Graph() *callgraph.Graph { return n.graph.Load() }

func (n *Node) version() uint64 {
	if g := n.graph.Load(); g != nil {
		return uint64(g.Version)
	}
	return 0
}
