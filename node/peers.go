package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/wire"
	"github.com/rotisserie/eris"
)

// dialTimeout bounds one dial of a peer.
const dialTimeout = time.Second

// errRedialing is returned while a peer that could not be dialled is being
// dialled again.
var errRedialing = eris.New("peer is being dialled again after a failure")

type (
	// peers holds one multiplexed connection per peer node address.
	peers struct {
		log      log.Interface
		cfg      Config
		onConfig func(instance string, version uint64)

		mu     sync.Mutex
		conns  map[string]*wire.Conn
		dials  map[string]*dial // going on
		failed map[string]bool  // the last dial failed
		closed bool
	}

	// dial is one attempt to connect, shared by the calls that wait for it;
	// done closes when conn or err is set.
	dial struct {
		done chan struct{}
		conn *wire.Conn
		err  error
	}
)

func newPeers(l log.Interface, cfg Config, onConfig func(string, uint64)) *peers {
	return &peers{log: l, cfg: cfg, onConfig: onConfig, conns: map[string]*wire.Conn{},
		dials: map[string]*dial{}, failed: map[string]bool{}}
}

// get returns the open connection to an instance's node, dialling one if
// there is none or the last one closed. Calls that come together share one
// dial: a hundred at once would only hold up a peer that is coming back. If
// the dial before it failed, only the call that began this one waits for it;
// a peer behind a cut would otherwise hold every call for dialTimeout, again
// and again.
func (p *peers) get(ctx context.Context, in callgraph.Instance) (*wire.Conn, error) {
	addr := in.Peer
	p.mu.Lock()
	if c := p.conns[addr]; c != nil && c.Err() == nil {
		p.mu.Unlock()
		return c, nil
	}
	d := p.dials[addr]
	if d != nil && p.failed[addr] {
		p.mu.Unlock()
		return nil, errRedialing
	}
	if d == nil {
		d = &dial{done: make(chan struct{})}
		p.dials[addr] = d
		go p.connect(in, d)
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
func (p *peers) connect(in callgraph.Instance, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	d.conn, d.err = wire.Dial(ctx, in.Peer, wire.DialConfig{From: p.cfg.Settings.Instance, Dial: p.cfg.Dial,
		OnVersion: func(v uint64) { p.onConfig(in.Name, v) }})
	p.mu.Lock()
	delete(p.dials, in.Peer)
	p.failed[in.Peer] = d.err != nil
	switch {
	case d.err != nil:
	case p.closed:
		d.conn.Close()
	default:
		p.conns[in.Peer] = d.conn
	}
	p.mu.Unlock()
	close(d.done)
}

// keepAlive checks every connection for silence until stop closes; the next
// call to a peer whose connection was closed dials a fresh one.
func (p *peers) keepAlive(stop <-chan struct{}) {
	t := time.NewTicker(wire.CheckEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for addr, c := range p.open() {
			c.Check()
			if errors.Is(c.Err(), wire.ErrSilent) {
				p.log.WithField("peer", addr).Warn("peer_connection_silent")
			}
		}
	}
}

// open returns the open connections by peer address, and forgets the others.
func (p *peers) open() map[string]*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make(map[string]*wire.Conn, len(p.conns))
	for addr, c := range p.conns {
		if c.Err() != nil {
			delete(p.conns, addr)
			continue
		}
		conns[addr] = c
	}
	return conns
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}
