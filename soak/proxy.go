package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Modes of a Proxy.
const (
	Pass          Mode = iota // forwards both directions unchanged
	Slow                      // delays each chunk by slowDelay
	DropOpenConns             // drops both directions of the connections open now; new ones work
	DropToServer              // drops what the client sends; responses pass
	DropAll                   // drops both directions of open and new connections
	lastMode      = DropAll
)

const (
	// slowDelay is the delay of each chunk in mode Slow: a few round trips
	// between data centres, too short to cause timeouts.
	slowDelay = 30 * time.Millisecond
	// chunkBytes is the size of the copy buffer.
	chunkBytes = 16 << 10
	// Directions of a connection, as indexes into connPair.dropped.
	toServer = 0
	toClient = 1
)

type (
	// Mode selects how a Proxy forwards data.
	Mode int32

	// Proxy forwards TCP connections to one address and injects network faults.
	// Its methods are safe for concurrent use.
	Proxy struct {
		serverAddr string
		listener   net.Listener

		mode  atomic.Int32
		mu    sync.Mutex
		conns map[*connPair]struct{}
	}

	// connPair holds both sides of a connection through a Proxy.
	connPair struct {
		client, server net.Conn
		// dropped is set for a direction once data in it was dropped, and never
		// reset, because forwarding later data would corrupt the stream.
		dropped [2]atomic.Bool
	}
)

// NewProxy starts a proxy in mode Pass that listens at addr and forwards
// connections to serverAddr.
func NewProxy(addr, serverAddr string) (*Proxy, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy at %s", addr)
	}
	p := &Proxy{serverAddr: serverAddr, listener: listener, conns: map[*connPair]struct{}{}}
	go p.accept()
	return p, nil
}

// SetMode changes the mode, for open connections too.
func (p *Proxy) SetMode(m Mode) {
	p.mode.Store(int32(m))
	if m != DropOpenConns {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.dropped[toServer].Store(true)
		c.dropped[toClient].Store(true)
	}
}

// Reset resets every open connection with a TCP RST.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return // listener closed
		}
		go p.serve(client)
	}
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.serverAddr)
	pair := &connPair{client: client, server: server}
	if err != nil {
		// The server is down: reset, as if nothing listened at the port.
		pair.reset()
		return
	}
	p.track(pair, true)
	defer p.track(pair, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(pair, client, server, toServer) })
	wg.Go(func() { p.pipe(pair, server, client, toClient) })
	wg.Wait()
	pair.reset()
}

func (p *Proxy) track(pair *connPair, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[pair] = struct{}{}
	} else {
		delete(p.conns, pair)
	}
}

// pipe copies one direction of a connection, subject to the current mode.
func (p *Proxy) pipe(pair *connPair, from, to net.Conn, direction int) {
	buf := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buf)
		switch m := Mode(p.mode.Load()); {
		case m == Slow:
			time.Sleep(slowDelay)
		case m == DropAll, m == DropToServer && direction == toServer:
			pair.dropped[direction].Store(true)
		}
		dropped := pair.dropped[direction].Load()
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			closeAfter(to, err == io.EOF && !dropped)
			return
		}
	}
}

// closeAfter closes nc after the other side has closed. After a clean EOF it
// closes only the write side, so that data in the other direction still arrives.
func closeAfter(nc net.Conn, clean bool) {
	if tc, ok := nc.(*net.TCPConn); ok && clean {
		tc.CloseWrite()
		return
	}
	nc.Close()
}

// reset closes both sides without lingering, which discards unsent data and
// sends a TCP RST.
func (c *connPair) reset() {
	for _, nc := range []net.Conn{c.client, c.server} {
		if tc, ok := nc.(*net.TCPConn); ok && tc != nil {
			tc.SetLinger(0)
			tc.Close()
		}
	}
}
