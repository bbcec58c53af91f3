package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/rotisserie/eris"
)

// dialTimeout bounds one dial of a peer.
const dialTimeout = time.Second

// ErrRedialing is returned by Get while a peer that could not be dialled is being
// dialled again.
var ErrRedialing = eris.New("peer is being dialled again after a failure")

type (
	// Peer is a node that calls are sent to.
	Peer struct {
		Name string // instance beside the node
		Addr string // host:port of the node's msgpack listener
	}

	// PoolConfig is what a Pool is built from.
	PoolConfig struct {
		From string // this node's instance name, sent with each request; empty where servers do not ask for it
		Log  log.Interface
		// OnVersion is told the version that each answer of a peer carries;
		// may be nil.
		OnVersion func(p Peer, version uint64)
		Trusting  bool // as in DialConfig
		// Dial opens the network connection; nil for TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
	}

	// Pool holds one multiplexed connection per peer node address.
	Pool struct {
		cfg PoolConfig

		mu     sync.Mutex
		conns  map[string]*Conn
		dials  map[string]*dial // going on
		failed map[string]bool  // the last dial failed
		closed bool
	}

	// dial is one attempt to connect, shared by the calls that wait for it;
	// done closes when conn or err is set.
	dial struct {
		done chan struct{}
		conn *Conn
		err  error
	}
)

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, conns: map[string]*Conn{}, dials: map[string]*dial{}, failed: map[string]bool{}}
}

// GetWithin is Get with a bound on the wait; one that is open costs no timer.
func (p *Pool) GetWithin(ctx context.Context, peer Peer, wait time.Duration) (*Conn, error) {
	if c := p.openTo(peer.Addr); c != nil && !c.Suspect() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return p.Get(ctx, peer)
}

// openTo returns the open connection to an address; nil for none.
func (p *Pool) openTo(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.conns[addr]; c != nil && c.Err() == nil {
		return c
	}
	return nil
}

// Get returns the open connection to a peer, dialling one if there is none or
// the last one closed; a silent peer is ErrSuspect. Calls that come together share one
// dial: a hundred at once would only hold up a peer that is coming back. If
// the dial before it failed, only the call that began this one waits for it;
// a peer behind a cut would otherwise hold every call for dialTimeout, again
// and again.
func (p *Pool) Get(ctx context.Context, peer Peer) (*Conn, error) {
	addr := peer.Addr
	p.mu.Lock()
	if c := p.conns[addr]; c != nil && c.Err() == nil {
		p.mu.Unlock()
		if c.Suspect() {
			return nil, ErrSuspect
		}
		return c, nil
	}
	d := p.dials[addr]
	if d != nil && p.failed[addr] {
		p.mu.Unlock()
		return nil, ErrRedialing
	}
	if d == nil {
		d = &dial{done: make(chan struct{})}
		p.dials[addr] = d
		go p.connect(peer, d)
	}
	p.mu.Unlock()
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connect carries out d. It is not bound to the call that began it: others
// wait for the outcome too.
func (p *Pool) connect(peer Peer, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	cfg := DialConfig{From: p.cfg.From, Trusting: p.cfg.Trusting, Dial: p.cfg.Dial}
	if p.cfg.OnVersion != nil {
		cfg.OnVersion = func(v uint64) { p.cfg.OnVersion(peer, v) }
	}
	d.conn, d.err = Dial(ctx, peer.Addr, cfg)
	p.mu.Lock()
	delete(p.dials, peer.Addr)
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

// KeepAlive checks every connection for silence until stop closes; the next
// call to a peer whose connection was closed dials a fresh one.
func (p *Pool) KeepAlive(stop <-chan struct{}) {
	t := time.NewTicker(CheckEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for addr, c := range p.open() {
			c.Check()
			if errors.Is(c.Err(), ErrSilent) {
				p.cfg.Log.WithField("peer", addr).Warn("peer_connection_silent")
			}
		}
	}
}

// open returns the open connections by peer address, and forgets the others.
func (p *Pool) open() map[string]*Conn {
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

// CloseAll closes every connection; later dials close theirs too.
func (p *Pool) CloseAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}
