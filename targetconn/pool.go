package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

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
	// asyncBodySize is the size in bytes from which a request body is written
	// concurrently with reading the answer: a target may answer before it reads
	// the body, and the write of a body larger than the socket buffer would
	// block until it does.
	asyncBodySize = 16 << 10
	// maxUncounted is the largest Content-Length in bytes of an answer that does not
	// count against the memory for answers; there are as many as the target has slots.
	maxUncounted = 4 << 10
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

	errMixedHeads = eris.New("head names two requests")
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
		in      *boundedReader
		r       *bufio.Reader // of in
		w       *bufio.Writer
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
	in := &boundedReader{r: nc, left: -1}
	c := &conn{nc: nc, in: in, r: bufio.NewReader(in), w: bufio.NewWriter(nc), opened: time.Now()}
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

// roundTrip writes r and reads its answer; reuse is set if the connection can
// carry another request.
func (p *Pool) roundTrip(ctx context.Context, c *conn, r *Request) (a *Answer, reuse bool, err error) {
	written := make(chan error, 1)
	if len(r.Body) < asyncBodySize {
		if err := c.write(r); err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.write(r) }()
	}
	resp, err := p.readResponse(c, r)
	if err != nil {
		return nil, false, err
	}
	a = &Answer{Code: resp.StatusCode, Header: resp.Header}
	if a.Body, a.Held, err = p.readBody(ctx, resp); err != nil {
		return nil, false, err
	}
	select {
	case err := <-written:
		reuse = err == nil && !resp.Close && c.r.Buffered() == 0
	default:
		// The target answered before the body was written. It may still read
		// and would take the next request for the rest of this body.
	}
	if reuse {
		c.expires = time.Now().Add(idleTimeout(resp.Header))
	}
	return a, reuse, nil
}

// readBody reads a response body of at most maxBody bytes into memory that it takes
// from the account before. While there is none for a body that states its length, the
// target waits; a body without holds what has come, so it ends if it may not grow. The
// body is not closed, which would read it to its end.
func (p *Pool) readBody(ctx context.Context, resp *http.Response) ([]byte, *memory.Hold, error) {
	n := resp.ContentLength
	switch {
	case resp.Body == http.NoBody || n == 0:
		return nil, nil, nil
	case n > maxBody:
		return nil, nil, errBodyTooLarge
	case n > 0 && n <= maxUncounted:
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, nil, err
	case n > 0:
		if err := p.cfg.Memory.Await(ctx, n); err != nil {
			return nil, nil, err
		}
		held := memory.NewHold(p.cfg.Memory, n)
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		if err != nil {
			held.Release()
		}
		return body, held, err
	}
	b := memory.NewBuffer(p.cfg.Memory)
	err := b.ReadAll(io.LimitReader(resp.Body, maxBody+1), n)
	switch {
	case errors.Is(err, memory.ErrNoMemory):
		err = &BoundError{Bound: BoundMemory, Limit: p.cfg.Memory.Limit()}
	case err == nil && len(b.Bytes()) > maxBody:
		b.Release()
		err = errBodyTooLarge
	}
	return b.Bytes(), b.Hold(), err
}

// readResponse returns the response to r. It skips responses with another
// request ID, such as a duplicate response to an earlier request. A head with two IDs
// is an error: it is that of a response that broke off, continued by the head of
// another one, whose body follows.
func (p *Pool) readResponse(c *conn, r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	skipped := int64(maxBody)
	c.in.left = maxHead
	defer func() { c.in.left = -1 }()
	for mismatched, interim := 0, 0; ; {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, c.in.explain(err)
		}
		ids := resp.Header.Values(p.cfg.Headers.RequestID)
		id := resp.Header.Get(p.cfg.Headers.RequestID)
		switch {
		case slices.ContainsFunc(ids, func(other string) bool { return other != id }):
			return nil, errMixedHeads
		case resp.StatusCode < http.StatusOK:
			// Informational; the final response follows.
			if interim++; interim > maxInterim {
				return nil, &BoundError{Bound: BoundInterim, Limit: maxInterim}
			}
		case id != "" && id != string(r.ID):
			if mismatched++; mismatched > maxMismatched {
				return nil, &BoundError{Bound: BoundMismatched, Limit: maxMismatched}
			}
			c.in.left = -1
			n, err := io.CopyN(io.Discard, resp.Body, skipped+1)
			if err == nil {
				return nil, &BoundError{Bound: BoundMismatched, Limit: maxBody}
			}
			if !errors.Is(err, io.EOF) {
				return nil, err
			}
			skipped -= n
			c.in.left = maxHead
			// Do not reuse the connection: more mismatched responses may
			// follow.
			resp.Close = true
		default:
			if mismatched > 0 {
				resp.Close = true
			}
			return resp, nil
		}
	}
}

// write sends the request with its header unchanged, adding only Host and
// Content-Length.
func (c *conn) write(r *Request) error {
	c.w.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(c.w); err != nil {
		return err
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		c.w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	c.w.WriteString("\r\n")
	c.w.Write(r.Body)
	return c.w.Flush()
}

// idleTimeout returns how long a connection may stay idle after a response with
// header h.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
