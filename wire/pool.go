package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/memory"
	"github.com/rotisserie/eris"
)

const dialTimeout = time.Second

// ErrRedialing is returned by Get while another call redials a peer whose last
// dial failed.
var ErrRedialing = eris.New("peer is being dialled again after a failure")

type (
	// Peer is a node that calls are sent to.
	Peer struct {
		Name string // instance that the node serves
		Addr string // host:port of the node's msgpack listener
	}

	// PoolConfig configures a Pool.
	PoolConfig struct {
		From string // this node's instance name, sent with each request; may be empty if the servers do not use it
		Log  log.Interface
		// OnVersion, if not nil, is called with the configuration version in
		// each answer of a peer.
		OnVersion        func(p Peer, version uint64)
		DisableSuspicion bool            // see DialConfig
		Memory           *memory.Account // of the bodies of answers; nil for none
		// Dial opens the network connection; nil means TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
	}

	// Pool holds one multiplexed connection per peer address. It is safe for
	// concurrent use.
	Pool struct {
		cfg PoolConfig

		mu         sync.Mutex
		conns      map[string]*Conn
		inProgress map[string]*dial // by address
		failed     map[string]bool  // addresses whose last dial failed
		closed     bool
	}

	// dial is a connection attempt shared by the calls that wait for it; done
	// is closed once conn or err is set.
	dial struct {
		done chan struct{}
		conn *Conn
		err  error
	}
)

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, conns: map[string]*Conn{}, inProgress: map[string]*dial{}, failed: map[string]bool{}}
}

// GetTimeout is Get with a timeout. It creates no timer if a connection is
// open.
func (p *Pool) GetTimeout(ctx context.Context, peer Peer, wait time.Duration) (*Conn, error) {
	if c := p.openConn(peer.Addr); c != nil && !c.Suspected() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return p.Get(ctx, peer)
}

// openConn returns the open connection to addr, or nil.
func (p *Pool) openConn(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil && c.Err() == nil {
		return c
	}
	return nil
}

// Get returns the open connection to a peer and dials one if there is none. It
// returns ErrPeerSuspected if the peer does not answer pings. Concurrent calls
// share one dial, so that a recovering peer is not flooded with connections. If
// the previous dial failed, only the call that started the current dial waits
// for it and the others get ErrRedialing; otherwise an unreachable peer would
// delay every call by dialTimeout.
func (p *Pool) Get(ctx context.Context, peer Peer) (*Conn, error) {
	addr := peer.Addr
	p.mu.Lock()
	if c := p.conns[addr]; c != nil && c.Err() == nil {
		p.mu.Unlock()
		if c.Suspected() {
			return nil, ErrPeerSuspected
		}
		return c, nil
	}
	d := p.inProgress[addr]
	if d != nil && p.failed[addr] {
		p.mu.Unlock()
		return nil, ErrRedialing
	}
	if d == nil {
		d = &dial{done: make(chan struct{})}
		p.inProgress[addr] = d
		go p.runDial(peer, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// runDial dials peer and completes d. It does not use the context of the call
// that started it, because other calls wait for the same dial.
func (p *Pool) runDial(peer Peer, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	cfg := DialConfig{From: p.cfg.From, DisableSuspicion: p.cfg.DisableSuspicion, Memory: p.cfg.Memory, Dial: p.cfg.Dial}
	if p.cfg.OnVersion != nil {
		cfg.OnVersion = func(v uint64) { p.cfg.OnVersion(peer, v) }
	}
	d.conn, d.err = Dial(ctx, peer.Addr, cfg)
	p.mu.Lock()
	delete(p.inProgress, peer.Addr)
	p.failed[peer.Addr] = d.err != nil
	switch {
	case d.err != nil:
	case p.closed:
		d.conn.Close()
	default:
		p.conns[peer.Addr] = d.conn
	}
	p.mu.Unlock()
	close(d.done)
}

// KeepAlive calls CheckKeepalive on every connection once per CheckInterval
// until stop is closed.
func (p *Pool) KeepAlive(stop <-chan struct{}) {
	t := time.NewTicker(CheckInterval)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for addr, c := range p.openConns() {
			c.CheckKeepalive()
			if errors.Is(c.Err(), ErrKeepaliveTimeout) {
				p.cfg.Log.WithField("peer", addr).Warn("peer_connection_silent")
			}
		}
	}
}

// openConns returns the open connections by peer address and removes the
// closed ones from the pool.
func (p *Pool) openConns() map[string]*Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make(map[string]*Conn, len(p.conns))
	for addr, c := range p.conns {
		if c.Err() != nil {
			delete(p.conns, addr)
			continue
		}
		conns[addr] = c
	}
	return conns
}

// Close closes every connection. Connections opened later by Get are closed
// immediately.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for addr, c := range p.conns {
		c.Close()
		delete(p.conns, addr)
	}
}
