package node_test

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/oatpin/oatpin/callgraph"
)

// cut is a network partition between one data centre and the others: once
// on, connections across it take writes and deliver nothing, and new ones
// hang, as they do when packets are dropped.
type cut struct {
	on atomic.Bool
	dc callgraph.DC
	in map[string]callgraph.DC // peer address -> data centre
}

// dial is a demo.Config.Dial.
func (c *cut) dial(ctx context.Context, from callgraph.Instance, addr string) (net.Conn, error) {
	crosses := (from.DC == c.dc) != (c.in[addr] == c.dc)
	if crosses && c.on.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil || !crosses {
		return nc, err
	}
	return &cutConn{Conn: nc, cut: c}, nil
}

type cutConn struct {
	net.Conn
	cut *cut
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.on.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.cut.on.Load() {
			return n, err
		}
	}
}
