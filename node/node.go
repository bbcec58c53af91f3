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
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
	"github.com/oatpin/oatpin/owner"
	"github.com/oatpin/oatpin/route"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
)

const (
	// dedupWindow is how long a non-idempotent key is remembered; longer
	// than any deadline in the examples, so a client's late retry still
	// finds it.
	dedupWindow = 10 * time.Minute
	// dedupBytes is what the answers kept for those keys may hold together: a
	// quarter of the node's 128 MB.
	dedupBytes = 32 << 20
	// drainGrace is how long a stopping node keeps answering "leaving"
	// before it stops listening, so that peers learn of it first.
	drainGrace = 2 * time.Second
	// idlePoll is how often a stopping node looks whether it is done.
	idlePoll = 10 * time.Millisecond
)

var (
	// ErrNoInstance is the reason given when no instance of a service can
	// take a call.
	ErrNoInstance = eris.New("no instance available")
	// ErrUnknownOperation is the reason given for a call the text does not list.
	ErrUnknownOperation = eris.New("operation not in the configuration text")
	// ErrMisrouted is the reason given for a call that another node sent
	// here but meant for another service or instance.
	ErrMisrouted = eris.New("meant for another instance")
)

type (
	// Config is what a Node is built from.
	Config struct {
		Settings settings.Node
		Graph    *callgraph.Graph // text to start with; nil to wait for the platform
		Log      log.Interface
		Client   *http.Client // for the local target and the platform; nil for a default
		// Skew is how far the clocks of callers and nodes may differ; 0
		// when all run on one machine.
		Skew time.Duration
		// Dial opens a connection to a peer; nil for TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// Baseline makes the node the naive one it is measured against:
		// no admission by class and a retry of any failure at every hop,
		// with no budget. Only for experiments.
		Baseline bool
	}

	// Node is one running node.
	Node struct {
		cfg       Config
		log       log.Interface
		applying  sync.Mutex // held while a text is put in force
		graph     atomic.Pointer[callgraph.Graph]
		table     *route.Table
		admission *filter.Admission
		dedup     *filter.Dedup
		book      *owner.Book
		ledger    *budget.Ledger
		leaving   atomic.Bool
		local     filter.Handler
		peers     *wire.Pool
		client    *http.Client
		retry     retryPolicy
		hops      atomic.Uint64
		entered   atomic.Int64  // calls of callers in flight
		fetching  atomic.Bool   // a text is being fetched from a peer
		alone     atomic.Bool   // the platform could not be reached last time
		applied   chan struct{} // of one token: a text was put in force
		stats     *stats

		wire     wire.Server
		http     *http.Server
		stop     chan struct{}
		stopOnce sync.Once
	}
)

// New builds a Node; Serve starts it.
func New(cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		log:       cfg.Log,
		table:     route.NewTable(cfg.Settings.DC),
		admission: filter.NewAdmission(1),
		dedup:     filter.NewDedup(dedupWindow, dedupBytes),
		ledger:    budget.NewLedger(),
		client:    cfg.Client,
		applied:   make(chan struct{}, 1),
		stop:      make(chan struct{}),
	}
	if n.log == nil {
		n.log = log.Log
	}
	if n.client == nil {
		n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	n.stats = newStats(cfg.Settings.Instance)
	n.peers = wire.NewPool(wire.PoolConfig{From: cfg.Settings.Instance, Log: n.log, OnVersion: func(p wire.Peer, v uint64) { n.onPeerVersion(p.Name, v) }, Dial: cfg.Dial})
	n.book = owner.NewBook(owner.Config{Instance: cfg.Settings.Instance, Window: dedupWindow, Skew: cfg.Skew, Gone: n.gone})
	n.local = filter.Chain(filter.HandlerFunc(n.callTarget),
		filter.Deadline(cfg.Skew),
		n.dedup.Filter(),
		filter.Owner(n.book),
		filter.Drain(&n.leaving),
		n.admission.Filter(),
	)
	n.retry = budgeted{}
	if cfg.Baseline {
		n.local = filter.Chain(filter.HandlerFunc(n.callTarget), filter.Deadline(cfg.Skew), filter.Drain(&n.leaving), n.dedup.Filter())
		n.retry = baseline{}
	}
	n.wire = wire.Server{Handler: n.servePeer, Version: n.version, OnVersion: n.onPeerVersion}
	n.http = &http.Server{Handler: n.routes(), ReadHeaderTimeout: 5 * time.Second}
	if cfg.Graph != nil {
		n.Apply(cfg.Graph)
	}
	return n
}

// Serve listens on the settings' addresses and runs until Shutdown. It waits
// out the clock skew first: a key that a caller makes from then on cannot
// look older than this process.
func (n *Node) Serve() error {
	time.Sleep(time.Until(n.book.Started()))
	hl, err := net.Listen("tcp", n.cfg.Settings.HTTP)
	if err != nil {
		return eris.Wrapf(err, "listen http %s", n.cfg.Settings.HTTP)
	}
	pl, err := net.Listen("tcp", n.cfg.Settings.Peer)
	if err != nil {
		hl.Close()
		return eris.Wrapf(err, "listen peer %s", n.cfg.Settings.Peer)
	}
	return n.ServeOn(hl, pl)
}

// ServeOn runs on listeners the caller opened, until Shutdown.
func (n *Node) ServeOn(hl, pl net.Listener) error {
	go n.watchConfig()
	go n.watchVMs()
	go n.exchangeTexts()
	go n.peers.KeepAlive(n.stop)
	go n.wire.Serve(pl)
	n.log.WithFields(log.Fields{"http": hl.Addr().String(), "peer": pl.Addr().String()}).Info("node_started")
	go func() { <-n.stop; pl.Close() }()
	err := n.http.Serve(hl)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops the node gracefully: new calls are refused with a
// come-back time and a leaving mark, calls in flight finish, then the
// listeners close. The listeners stay open until then: the target's calls to
// its dependencies, for a request it is still serving, come in through them.
// ctx bounds the wait.
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
	n.peers.CloseAll()
	n.log.Info("node_stopped")
	return err
}

// waitIdle waits until no request of a caller or a peer is being served and
// every answer to a peer is written, or ctx ends.
func (n *Node) waitIdle(ctx context.Context) {
	t := time.NewTicker(idlePoll)
	defer t.Stop()
	for n.entered.Load() > 0 || n.wire.InFlight() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Ready reports whether the node can serve every call: it holds a text, has
// read the VM list, which keyed calls wait for, and is not leaving.
func (n *Node) Ready() bool {
	return n.graph.Load() != nil && n.book.Confirmed() && !n.leaving.Load() && !time.Now().Before(n.book.Started())
}

// Graph returns the text in force, or nil.
func (n *Node) Graph() *callgraph.Graph { return n.graph.Load() }

func (n *Node) version() uint64 {
	if g := n.graph.Load(); g != nil {
		return uint64(g.Version)
	}
	return 0
}
