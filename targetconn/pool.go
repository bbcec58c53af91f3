package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
)

const (
	// dialWait bounds opening a connection on the same VM, a matter of
	// microseconds. A target that is gone without a trace, or whose accept
	// queue is full, drops the opening packet, which is sent again only after
	// a second; nothing was sent, so another instance can have the request.
	dialWait = 300 * time.Millisecond
	// idleDefault is how long an idle connection is kept when the target
	// does not say: under the shortest usual server timeout of 5 s.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the idle timeout that a target states, so that
	// a request does not meet the target's own close on the way.
	idleMargin = 500 * time.Millisecond
	// endingTime is how long a process that ends may still take connections
	// after it has broken others; it breaks those too.
	endingTime = 5 * time.Millisecond
	// maxStray is how many answers to other requests are passed over on one
	// connection before it is given up.
	maxStray = 3
	// bigBody is the size from which a request's body is written while the
	// answer is awaited: a target may answer first, and a body that does not
	// fit the socket's buffer would wait for it to read on.
	bigBody = 16 << 10
	// onePiece is the length up to which the memory for an answer's body is
	// taken before it is there: what a target promises it may break off.
	onePiece = 64 << 10
	// maxAnswer bounds an answer's body held in memory.
	maxAnswer = 64 << 20
)

var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = eris.New("target could not be reached")
	// ErrNobody means, beside ErrNotSent, that nothing listens at the target's
	// address.
	ErrNobody = eris.New("nothing listens at the target's address")
	// ErrNoAnswer means that the request was written, in part or whole, and
	// no whole answer to it came: it may have run.
	ErrNoAnswer = eris.New("no whole answer from the target")

	errTooLong = eris.Errorf("answer over %d bytes", maxAnswer)
)

type (
	// Config is what a Pool is built from.
	Config struct {
		Addr    string // host:port of the target
		Headers call.Headers
		// Dial opens a connection; nil for TCP.
		Dial func(ctx context.Context, addr string) (net.Conn, error)
	}

	// Request is a request to hand to the target.
	Request struct {
		ID     call.RequestID
		Method string
		Host   string
		URI    string
		Header http.Header
		Body   []byte
	}

	// Answer is the target's whole answer.
	Answer struct {
		Code   int
		Header http.Header
		Body   []byte
	}

	// Pool holds the open connections to one target. It is safe for
	// concurrent use.
	Pool struct {
		cfg Config

		mu   sync.Mutex
		idle []*conn // the one used last is at the end
	}

	conn struct {
		nc    net.Conn
		r     *bufio.Reader
		w     *bufio.Writer
		until time.Time // when it must not be used any more
	}
)

// NewPool returns a Pool without connections.
func NewPool(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			d := net.Dialer{Timeout: dialWait}
			return d.DialContext(ctx, "tcp", addr)
		}
	}
	return &Pool{cfg: cfg}
}

// Do gives r to the target and returns its answer. The error wraps
// ErrNotSent or ErrNoAnswer. When ctx ends, the connection is closed, by
// which most targets stop the work.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Join(ErrNotSent, ErrNobody)
	}
	if err != nil {
		return nil, eris.Wrap(ErrNotSent, err.Error())
	}
	stop := context.AfterFunc(ctx, func() { c.nc.SetDeadline(time.Unix(1, 0)) })
	a, reuse, err := p.exchange(c, r)
	if !stop() || err != nil || !reuse {
		c.nc.Close()
	} else {
		p.put(c)
	}
	if err != nil {
		if ctx.Err() != nil {
			return nil, eris.Wrap(ErrNoAnswer, ctx.Err().Error())
		}
		return nil, eris.Wrap(ErrNoAnswer, err.Error())
	}
	return a, nil
}

// Ended reports whether nothing listens at the target's address: its process
// is gone. A connection that this opens is kept for the next request.
func (p *Pool) Ended(ctx context.Context) bool {
	for {
		nc, err := p.cfg.Dial(ctx, p.cfg.Addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		c := newConn(nc)
		time.Sleep(endingTime)
		if c.quiet() {
			c.until = time.Now().Add(idleDefault)
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
	for _, c := range p.idle {
		c.nc.Close()
	}
	p.idle = nil
}

func (p *Pool) get(ctx context.Context) (*conn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.nc.Close()
	}
	nc, err := p.cfg.Dial(ctx, p.cfg.Addr)
	if err != nil {
		return nil, err
	}
	return newConn(nc), nil
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, r: bufio.NewReader(nc), w: bufio.NewWriter(nc)}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put keeps a connection for the next request, and closes those that have
// been idle too long.
func (p *Pool) put(c *conn) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.After(p.idle[0].until) {
		p.idle[0].nc.Close()
		p.idle = p.idle[1:]
	}
	p.idle = append(p.idle, c)
}

// quiet reports whether nothing has arrived on an idle connection: neither
// its end, which would lose the next request, nor bytes that belong to no
// request.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}

// exchange writes r and reads its answer.
func (p *Pool) exchange(c *conn, r *Request) (a *Answer, reuse bool, err error) {
	written := make(chan error, 1)
	if len(r.Body) < bigBody {
		if err := c.write(r); err != nil {
			return nil, false, err
		}
		written <- nil
	} else {
		go func() { written <- c.write(r) }()
	}
	resp, err := p.read(c, r)
	if err != nil {
		return nil, false, err
	}
	body, err := readAnswer(resp)
	if err != nil {
		return nil, false, err
	}
	a = &Answer{Code: resp.StatusCode, Header: resp.Header, Body: body}
	select {
	case err := <-written:
		reuse = err == nil && !resp.Close && c.r.Buffered() == 0
	default:
		// Answered before the body was read: the target may read on, and
		// would take the next request's bytes for the rest of this body.
	}
	if reuse {
		c.until = time.Now().Add(keepAlive(resp.Header))
	}
	return a, reuse, nil
}

// readAnswer reads an answer's body, which is seldom long.
func readAnswer(resp *http.Response) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > maxAnswer {
		return nil, errTooLong
	}
	if resp.Body != http.NoBody && resp.ContentLength >= 0 && resp.ContentLength <= onePiece {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLong
	}
	return body, err
}

// read returns the answer to r. A target may send a second, late answer to
// an earlier request where this one's is due; the id in it tells.
func (p *Pool) read(c *conn, r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(c.r, req)
		if err != nil {
			return nil, err
		}
		id := resp.Header.Get(p.cfg.Headers.RequestID)
		switch {
		case resp.StatusCode < http.StatusOK:
			// Interim: the final answer follows.
		case id != "" && id != string(r.ID):
			if stray++; stray > maxStray {
				return nil, eris.New("answers to other requests only")
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return nil, err
			}
			// Another stray answer may follow the right one.
			resp.Close = true
		default:
			if stray > 0 {
				resp.Close = true
			}
			return resp, nil
		}
	}
}

// write sends the request as it came; header names and values are the
// caller's.
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

// keepAlive is how long a connection may stay idle after an answer.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(time.Duration(s)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
