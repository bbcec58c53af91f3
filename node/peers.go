package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/wire"
)

const (
	// pingEvery and pingTimeout bound how long a silent connection (open,
	// but forgotten by a box in between) goes unnoticed: a connection that
	// read nothing for pingEvery is pinged at the next tick, so at most
	// twice pingEvery plus pingTimeout. Connections that deliver frames are
	// not pinged: at the planned size that keeps pings within the 3 KB/s
	// control budget (docs/CAPACITY.md).
	pingEvery   = 5 * time.Second
	pingTimeout = time.Second
	dialTimeout = time.Second
)

// peers holds one multiplexed connection per peer node address.
type peers struct {
	log      log.Interface
	from     string // this node's instance name
	onConfig func(instance string, version uint64)

	mu    sync.Mutex
	conns map[string]*wire.Conn
}

func newPeers(l log.Interface, from string, onConfig func(string, uint64)) *peers {
	return &peers{log: l, from: from, onConfig: onConfig, conns: map[string]*wire.Conn{}}
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
	c, err := wire.Dial(ctx, addr, wire.DialConfig{From: p.from, OnVersion: func(v uint64) { p.onConfig(in.Name, v) }})
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

// keepAlive pings every connection until stop closes; one that does not
// answer is closed, so the next call dials a fresh one.
func (p *peers) keepAlive(stop <-chan struct{}) {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		p.mu.Lock()
		conns := make(map[string]*wire.Conn, len(p.conns))
		for a, c := range p.conns {
			conns[a] = c
		}
		p.mu.Unlock()
		for addr, c := range conns {
			if c.Err() != nil || c.Quiet() < pingEvery {
				continue
			}
			if err := c.Ping(pingTimeout); err != nil {
				p.log.WithField("peer", addr).WithError(err).Warn("peer_connection_silent")
			}
		}
	}
}

func (p *peers) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		c.Close()
		delete(p.conns, a)
	}
}
