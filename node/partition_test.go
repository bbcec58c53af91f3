package node_test

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/oatpin/oatpin/callgraph"
)

// partition simulates a network partition between one data centre and the
// others: while active, connections across it accept writes and deliver
// nothing, and new ones hang, as with dropped packets.
type partition struct {
	active   atomic.Bool
	dc       callgraph.DC
	dcByAddr map[string]callgraph.DC // data centre by peer address
}

// dial implements demo.Config.Dial.
func (c *partition) dial(ctx context.Context, from callgraph.Instance, addr string) (net.Conn, error) {
	crosses := (from.DC == c.dc) != (c.dcByAddr[addr] == c.dc)
	if crosses && c.active.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil || !crosses {
		return nc, err
	}
	return &partitionedConn{Conn: nc, partition: c}, nil
}

type partitionedConn struct {
	net.Conn
	partition *partition
}

func (c *partitionedConn) Write(p []byte) (int, error) {
	if c.partition.active.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *partitionedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.partition.active.Load() {
			return n, err
		}
	}
}
