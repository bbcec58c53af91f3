package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/answer"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/memory"
	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds dialling the target on the same VM, which takes
	// microseconds. A target that is unreachable or whose accept queue is full
	// drops the SYN, which is retransmitted only after 1 s; before that, the
	// request can be sent to another instance.
	dialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target
	// states no timeout. It is below 5 s, the shortest common server timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that a target states, so
	// that no request is sent while the target closes the connection.
	idleMargin = 500 * time.Millisecond
	// resetGrace is how long an exiting process may accept connections after it
	// has reset others; it resets those too.
	resetGrace = 5 * time.Millisecond
	// trailingCheckInterval is how often connections that became idle are checked for
	// bytes after an answer.
	trailingCheckInterval = 400 * time.Millisecond
)

var (
	// ErrNotSent means that no byte of the request was written, so it did not
	// run.
	ErrNotSent = eris.New("target could not be reached")
	// ErrConnRefused means that the connection was refused because nothing
	// listens at the target's address; it is joined with ErrNotSent.
	ErrConnRefused = eris.New("nothing listens at the target's address")
	// ErrNoAnswer means that the request was written at least in part and no
	// complete answer arrived, so it may have run.
	ErrNoAnswer = eris.New("no whole answer from the target")
)

type (
	// Config configures a Pool.
	Config struct {
		Addr    string // host:port of the target
		Headers call.Headers
		// Dial opens a connection; nil means TCP with dialTimeout.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
		// OnTrailing is called when a connection is closed because the target sent
		// bytes after an answer; nil for none.
		OnTrailing func()
		// Memory counts the bodies of answers; nil for none.
		Memory *memory.Account
	}

	// Request is an HTTP request to the target.
	Request struct {
		ID     call.RequestID
		Method string
		Host   string
		URI    string
		Header http.Header
		Body   []byte
		// GotConn is called before the request is written to a connection, with
		// when that was opened; nil for none. The target's process that gives the
		// answer had started by then.
		GotConn func(opened time.Time)
	}

	// Answer is the target's complete response.
	Answer struct {
		Code   int
		Header http.Header
		Body   []byte
		Held   *memory.Hold // of Body; released by whoever is done with the answer
	}

	// Pool sends requests to one target and keeps idle connections for reuse.
	// It is safe for concurrent use.
	Pool struct {
		cfg Config

		mu        sync.Mutex
		idleConns []*conn   // least recently used first
		started   time.Time // when the target's process was started, as far as known
		unchecked []*conn   // that became idle since the last check for bytes after an answer
		checking  bool      // such a check is due
	}

	conn struct {
		nc      net.Conn
		strict  *answer.Conn   // over nc
		in      *boundedReader // of strict
		r       *bufio.Reader  // of in
		w       *bufio.Writer  // to nc
		opened  time.Time
		expires time.Time // time after which it must not be used
	}
)

// NewPool returns a Pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialTimeout}
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Pool{cfg: cfg}
}

// Do sends r to the target at most once and returns the answer. The error wraps
// ErrNotSent or ErrNoAnswer, and a BoundError if the answer is over a bound. If ctx
// ends, Do closes the connection, which makes most targets stop working on the request.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Join(ErrNotSent, ErrConnRefused)
	}
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	if r.GotConn != nil {
		r.GotConn(c.opened)
	}
	stop := context.AfterFunc(ctx, func() { c.nc.SetDeadline(time.Unix(1, 0)) })
	a, reuse, err := p.roundTrip(ctx, c, r)
	if !stop() || err != nil || !reuse {
		c.nc.Close()
	} else {
		p.put(c)
	}
	if err != nil {
		if ctx.Err() != nil {
			return nil, eris.Wrap(ErrNoAnswer, ctx.Err().Error())
		}
		return nil, fmt.Errorf("%w: %w", ErrNoAnswer, err)
	}
	return a, nil
}

// TargetExited reports whether the target's process has exited, which is the
// case if nothing listens at its address. It dials the target and returns a
// working connection to the pool.
func (p *Pool) TargetExited(ctx context.Context) bool {
	for {
		nc, err := p.cfg.Dial(ctx, p.cfg.Addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		c := p.newConn(nc)
		time.Sleep(resetGrace)
		if c.idle() {
			c.expires = time.Now().Add(defaultIdleTimeout)
			p.put(c)
			return false
		}
		c.nc.Close()
	}
}

// Close closes the idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(*conn) bool { return true })
}

// Begin records when the target's process was started, by the clock of this VM,
// and closes the connections to the one before once they are idle. A connection
// that is opened from now on counts as opened after that start even if the clock
// was set back since.
func (p *Pool) Begin(started time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started = started
	p.closeIdle(p.isFormer)
}

// isFormer reports whether a connection is one to the process before.
func (p *Pool) isFormer(c *conn) bool { return c.opened.Before(p.started) }

func (p *Pool) closeIdle(which func(*conn) bool) {
	p.idleConns = slices.DeleteFunc(p.idleConns, func(c *conn) bool {
		if !which(c) {
			return false
		}
		c.nc.Close()
		return true
	})
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if time.Now().Before(c.expires) && c.idle() {
			return c, nil
		}
		c.nc.Close()
	}
	nc, err := p.cfg.Dial(ctx, p.cfg.Addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(nc), nil
}

func (p *Pool) newConn(nc net.Conn) *conn {
	strict := answer.NewConn(nc)
	in := &boundedReader{r: strict, left: -1}
	c := &conn{nc: nc, strict: strict, in: in, r: bufio.NewReader(in), w: bufio.NewWriter(nc), opened: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isFormer(c) {
		c.opened = p.started
	}
	return c
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idleConns) == 0 {
		return nil
	}
	c := p.idleConns[len(p.idleConns)-1]
	p.idleConns = p.idleConns[:len(p.idleConns)-1]
	return c
}

// put returns a connection to the pool and closes those whose idle timeout has
// passed.
func (p *Pool) put(c *conn) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idleConns) > 0 && now.After(p.idleConns[0].expires) {
		p.idleConns[0].nc.Close()
		p.idleConns = p.idleConns[1:]
	}
	if p.isFormer(c) {
		c.nc.Close()
		return
	}
	p.idleConns = append(p.idleConns, c)
	p.unchecked = append(p.unchecked, c)
	if !p.checking {
		p.checking = true
		time.AfterFunc(trailingCheckInterval, p.closeTrailing)
	}
}

// closeTrailing closes the connections that became idle lately and on which
// something has arrived since. They would otherwise be found only when used again,
// and what a target goes on sending takes memory until then.
func (p *Pool) closeTrailing() {
	closed := p.closeUnchecked()
	for range closed {
		if p.cfg.OnTrailing != nil {
			p.cfg.OnTrailing()
		}
	}
}

// closeUnchecked closes those of the unchecked connections on which something has
// arrived, and returns their number.
func (p *Pool) closeUnchecked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.idleConns)
	p.closeIdle(func(c *conn) bool { return slices.Contains(p.unchecked, c) && c.trailing() })
	p.unchecked, p.checking = nil, false
	return before - len(p.idleConns)
}

// idle reports whether the connection is open and nothing has arrived on it. If
// the target has closed it, the next request would be lost; bytes that arrived
// belong to no request.
func (c *conn) idle() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	_, err := c.peek()
	return errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
}

// trailing reports whether something has arrived on an idle connection.
func (c *conn) trailing() bool {
	n, err := c.peek()
	return err == nil && n > 0
}

// peek returns how many bytes, at most one, have arrived at the socket; EAGAIN if it is
// open and nothing has, also for a connection that is no socket.
func (c *conn) peek() (n int, err error) {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return 0, syscall.EAGAIN
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	readErr := rc.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if readErr != nil {
		return 0, readErr
	}
	return n, err
}
