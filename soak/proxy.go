package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Ways in which a Proxy can treat what passes through it.
const (
	Pass     Mode = iota // as it comes
	Slow                 // each piece is held for slowFor
	Swallow              // nothing more arrives on open connections; new ones work
	OneWay               // what the dialling side sends is lost, answers pass
	Unplug               // nothing arrives, on new connections neither
	modeLast = Unplug
)

const (
	// slowFor is how long Slow holds each piece: a few times a round trip
	// between data centres, so that timeouts come near without being met.
	slowFor = 30 * time.Millisecond
	// pieceBytes is how much is passed on at a time.
	pieceBytes = 16 << 10
	// forth and back are the directions of a link, as its dialling side sees
	// them.
	forth = 0
	back  = 1
)

type (
	// Mode is how a Proxy treats connections.
	Mode int32

	// Proxy passes TCP connections on to one address.
	Proxy struct {
		to string
		l  net.Listener

		mode  atomic.Int32
		mu    sync.Mutex
		conns map[*link]struct{}
	}

	// link is one connection through a Proxy.
	link struct {
		in, out net.Conn
		// lost says that nothing more arrives in a direction: lost bytes do
		// not come later, so the stream has a hole from there on.
		lost [2]atomic.Bool
	}
)

// NewProxy listens at addr and passes connections on to another address.
func NewProxy(addr, to string) (*Proxy, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "proxy at %s", addr)
	}
	p := &Proxy{to: to, l: l, conns: map[*link]struct{}{}}
	go p.accept()
	return p, nil
}

// Set changes how connections are treated from now on.
func (p *Proxy) Set(m Mode) {
	p.mode.Store(int32(m))
	if m != Swallow {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.lost[forth].Store(true)
		c.lost[back].Store(true)
	}
}

// Reset resets every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.reset()
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.l.Close()
	p.Reset()
}

func (p *Proxy) accept() {
	for {
		in, err := p.l.Accept()
		if err != nil {
			return // closed
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	out, err := net.Dial("tcp", p.to)
	c := &link{in: in, out: out}
	if err != nil {
		// What is behind is down: a reset, as from a port without a listener.
		c.reset()
		return
	}
	p.track(c, true)
	defer p.track(c, false)
	var wg sync.WaitGroup
	wg.Go(func() { p.pipe(c, in, out, forth) })
	wg.Go(func() { p.pipe(c, out, in, back) })
	wg.Wait()
	c.reset()
}

func (p *Proxy) track(c *link, add bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if add {
		p.conns[c] = struct{}{}
	} else {
		delete(p.conns, c)
	}
}

// pipe passes on what one side sends, as the mode of the moment says.
func (p *Proxy) pipe(c *link, from, to net.Conn, way int) {
	buf := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buf)
		switch m := Mode(p.mode.Load()); {
		case m == Slow:
			time.Sleep(slowFor)
		case m == Unplug, m == OneWay && way == forth:
			c.lost[way].Store(true)
		}
		lost := c.lost[way].Load()
		if n > 0 && !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			end(to, err == io.EOF && !lost)
			return
		}
	}
}

// end closes one side after the other has ended: only its sending half after
// a clean end, so that what is still under way the other way arrives.
func end(nc net.Conn, clean bool) {
	if tc, ok := nc.(*net.TCPConn); ok && clean {
		tc.CloseWrite()
		return
	}
	nc.Close()
}

// reset closes both sides at once, with a reset where bytes are open.
func (c *link) reset() {
	for _, nc := range []net.Conn{c.in, c.out} {
		if tc, ok := nc.(*net.TCPConn); ok && tc != nil {
			tc.SetLinger(0)
			tc.Close()
		}
	}
}
