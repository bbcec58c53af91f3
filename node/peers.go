package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/wire"
)

// dialTimeout bounds one dial of a peer.
const dialTimeout = time.Second

// peers holds one multiplexed connection per peer node address.
type peers struct {
	log      log.Interface
	cfg      Config
	onConfig func(instance string, version uint64)

	mu    sync.Mutex
	conns map[string]*wire.Conn
}

func newPeers(l log.Interface, cfg Config, onConfig func(string, uint64)) *peers {
	return &peers{log: l, cfg: cfg, onConfig: onConfig, conns: map[string]*wire.Conn{}}
}

// get returns the open connection to an instance's node, dialling one if
// there is none or the last one closed.
func (p *peers) get(ctx context.Context, in callgraph.Instance) (*wire.Conn, error) {
	addr := in.Peer
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil && c.Err() == nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := wire.Dial(ctx, addr, wire.DialConfig{From: p.cfg.Settings.Instance, Dial: p.cfg.Dial, OnVersion: func(v uint64) { p.onConfig(in.Name, v) }})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	if old := p.conns[addr]; old != nil && old.Err() == nil {
		p.mu.Unlock()
		c.Close()
		return old, nil
	}
	p.conns[addr] = c
	p.mu.Unlock()
	return c, nil
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

// open returns the open connections by peer address.
func (p *peers) open() map[string]*wire.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make(map[string]*wire.Conn, len(p.conns))
	for addr, c := range p.conns {
		if c.Err() == nil {
			conns[addr] = c
		}
	}
	return conns
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}
