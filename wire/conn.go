package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// DialConfig is what a Conn is built from.
type DialConfig struct {
	From      string         // this node's instance name, sent with each request
	OnVersion func(v uint64) // told the text version each answer carries; may be nil
	// Trusting leaves a peer that answers no ping unsuspected until its
	// connection is closed for silence.
	Trusting bool
	// Dial opens the network connection; nil for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Conn is the calling side of one connection to a peer node. It is safe for
// concurrent use; calls share the connection and are told apart by stream.
type Conn struct {
	nc   net.Conn
	cfg  DialConfig
	out  *frameWriter
	done chan struct{}

	heard     atomic.Bool // a frame was read since the last Check
	suspected atomic.Bool // the peer does not answer a ping

	mu      sync.Mutex // guards the fields below
	next    Stream
	pending map[Stream]waiter
	err     error
	silence silence
}

// Dial opens a connection to a peer's msgpack listener at addr.
func Dial(ctx context.Context, addr string, cfg DialConfig) (*Conn, error) {
	dial := cfg.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		return nil, eris.Wrapf(err, "dial peer %s", addr)
	}
	return NewConn(nc, cfg), nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// NewConn returns a Conn over an open network connection.
func NewConn(nc net.Conn, cfg DialConfig) *Conn {
	c := &Conn{
		nc:      nc,
		cfg:     cfg,
		out:     newFrameWriter(nc),
		done:    make(chan struct{}),
		pending: map[Stream]waiter{},
	}
	go c.read()
	return c
}

// Call sends r and waits for its answer or ctx's end. An error (wrapping
// ErrClosed) means the call was never written, so nothing of it ran. A call
// that was written but got no answer, because the connection broke or ctx
// ended, returns an Answer with status Unknown whose RetriesUsed is the whole
// budget sent: what the call caused below is never reported, and counting
// less would let a retry spend the same budget twice.
func (c *Conn) Call(ctx context.Context, r call.Request, version uint64) (call.Answer, error) {
	ch := make(chan call.Answer, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return call.Answer{}, eris.Wrap(ErrClosed, c.err.Error())
	}
	c.next++
	s := c.next
	c.pending[s] = waiter{id: r.ID, ch: ch, yields: r.Yields}
	c.mu.Unlock()
	if err := c.out.write(Frame{Kind: KindRequest, Stream: s, Request: &r, Config: version, From: c.cfg.From}); err != nil {
		c.forget(s)
		c.fail(err)
		return call.Answer{}, eris.Wrap(ErrClosed, err.Error())
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return lost(r, "connection lost or silent after sending"), nil
		}
		return a, nil
	case <-ctx.Done():
		c.forget(s)
		if errors.Is(ctx.Err(), context.Canceled) {
			// The caller left before its deadline; the peer cannot know. At
			// the deadline it stops by itself.
			c.out.write(Frame{Kind: KindCancel, Stream: s})
			return lost(r, "given up by its caller"), nil
		}
		return lost(r, "deadline passed after sending"), nil
	}
}

// lost is the answer to a call that was sent and never answered.
func lost(r call.Request, reason string) call.Answer {
	return call.Answer{ID: r.ID, Status: call.Unknown, Reason: reason, RetriesUsed: r.Budget}
}

// Err returns why the connection closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection; calls in flight end with status Unknown.
func (c *Conn) Close() error {
	c.fail(ErrClosed)
	return nil
}

func (c *Conn) forget(s Stream) {
	c.mu.Lock()
	delete(c.pending, s)
	c.mu.Unlock()
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	c.nc.Close()
	for s, w := range c.pending {
		close(w.ch)
		delete(c.pending, s)
	}
	close(c.done)
}

// read delivers answers to their callers. An answer whose stream is no longer
// pending (late, duplicated, or for a call that gave up) is dropped, and an
// answer whose id differs from the call's is dropped too: a caller gets its
// own whole answer or none.
func (c *Conn) read() {
	dec := msgpack.NewDecoder(bufio.NewReader(c.nc))
	for {
		var f Frame
		if err := dec.Decode(&f); err != nil {
			c.fail(err)
			return
		}
		c.heard.Store(true)
		if f.Kind != KindAnswer || f.Answer == nil {
			continue
		}
		if c.cfg.OnVersion != nil {
			c.cfg.OnVersion(f.Config)
		}
		c.deliver(f.Stream, *f.Answer)
	}
}

func (c *Conn) deliver(s Stream, a call.Answer) {
	c.mu.Lock()
	w, ok := c.pending[s]
	if ok && w.id == a.ID {
		delete(c.pending, s)
	}
	c.mu.Unlock()
	if ok && w.id == a.ID {
		w.ch <- a
	}
}

// waiter is one call waiting for its answer.
type waiter struct {
	id     call.RequestID
	ch     chan call.Answer
	yields bool
}
