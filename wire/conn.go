package wire

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/memory"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// DialConfig configures a Conn.
type DialConfig struct {
	From      string         // this node's instance name, sent with each request
	OnVersion func(v uint64) // called with the configuration version in each answer; may be nil
	// DisableSuspicion disables suspicion: a peer that answers no pings is not
	// suspected before its connection is closed with ErrKeepaliveTimeout.
	DisableSuspicion bool
	// Memory counts the bodies of answers; nil for none.
	Memory *memory.Account
	// Dial opens the network connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Conn is the client side of a connection to a peer node. Concurrent calls
// share the connection. It is safe for concurrent use.
type Conn struct {
	nc   net.Conn
	cfg  DialConfig
	out  *frameWriter
	done chan struct{}

	received  atomic.Bool // a frame was read since the last CheckKeepalive
	suspected atomic.Bool // see Suspected

	mu         sync.Mutex // guards the fields below
	lastStream Stream
	pending    map[Stream]pendingCall
	err        error
	probe      probeState
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
		pending: map[Stream]pendingCall{},
	}
	go c.readLoop()
	return c
}

// Call sends r and waits for its answer or for the end of ctx. An error, which
// wraps ErrClosed, means that the request was not written and did not run. If
// the request was written and the connection fails or ctx ends before the
// answer, Call returns an Answer with status Unknown and RetriesUsed set to the
// whole budget: the retries spent downstream are not known, and a lower count
// would let a retry spend the same budget twice.
func (c *Conn) Call(ctx context.Context, r call.Request, version uint64) (call.Answer, error) {
	ch := make(chan call.Answer, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return call.Answer{}, eris.Wrap(ErrClosed, c.err.Error())
	}
	c.lastStream++
	s := c.lastStream
	c.pending[s] = pendingCall{id: r.ID, ch: ch, endOnSuspicion: r.EndOnSuspicion, uncounted: r.HTTP == nil}
	c.mu.Unlock()
	if err := c.out.write(Frame{Kind: KindRequest, Stream: s, Request: &r, ConfigVersion: version, From: c.cfg.From}); err != nil {
		c.removePending(s)
		c.closeWithError(err)
		return call.Answer{}, eris.Wrap(ErrClosed, err.Error())
	}
	select {
	case a, ok := <-ch:
		if !ok {
			return unknownAnswer(r, "connection lost or silent after sending"), nil
		}
		return a, nil
	case <-ctx.Done():
		c.removePending(s)
		releaseDelivered(ch)
		if errors.Is(ctx.Err(), context.Canceled) {
			// The peer enforces the deadline itself but must be told of an
			// earlier cancellation.
			c.out.write(Frame{Kind: KindCancel, Stream: s})
			return unknownAnswer(r, "given up by its caller"), nil
		}
		return unknownAnswer(r, "deadline passed after sending"), nil
	}
}

// unknownAnswer is the result of a call that was sent but not answered.
func unknownAnswer(r call.Request, reason string) call.Answer {
	return call.Answer{ID: r.ID, Status: call.Unknown, Reason: reason, RetriesUsed: r.RetryBudget}
}

// Err returns why the connection closed, or nil while it is open.
func (c *Conn) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Close closes the connection; pending calls end with status Unknown. It always
// returns nil.
func (c *Conn) Close() error {
	c.closeWithError(ErrClosed)
	return nil
}

// memoryOf returns the account of the answer on a stream. Answers between nodes
// themselves do not count, so that a node keeps up whatever its callers hold.
func (c *Conn) memoryOf(s Stream) *memory.Account {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pending[s]; ok && p.uncounted {
		return nil
	}
	return c.cfg.Memory
}

// releaseDelivered gives back the memory of an answer that came together with the end
// of its call.
func releaseDelivered(ch <-chan call.Answer) {
	select {
	case a := <-ch:
		a.Held.Release()
	default:
	}
}

func (c *Conn) removePending(s Stream) {
	c.mu.Lock()
	delete(c.pending, s)
	c.mu.Unlock()
}

func (c *Conn) closeWithError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	c.err = err
	c.nc.Close()
	for s, p := range c.pending {
		close(p.ch)
		delete(c.pending, s)
	}
	close(c.done)
}

// readLoop delivers answers to their callers. It drops answers that are late,
// duplicated or for a cancelled call, and answers whose request ID differs from
// the pending call's, so that a caller never gets the answer to another call.
func (c *Conn) readLoop() {
	in := &frameReader{r: c.nc}
	dec := msgpack.NewDecoder(bufio.NewReader(in))
	for {
		in.next()
		f := Frame{memoryOf: c.memoryOf}
		if err := dec.Decode(&f); err != nil {
			c.closeWithError(err)
			return
		}
		c.received.Store(true)
		if f.Kind != KindAnswer || f.Answer == nil {
			f.release()
			continue
		}
		if c.cfg.OnVersion != nil {
			c.cfg.OnVersion(f.ConfigVersion)
		}
		c.deliver(f.Stream, *f.Answer)
	}
}

func (c *Conn) deliver(s Stream, a call.Answer) {
	c.mu.Lock()
	p, ok := c.pending[s]
	ok = ok && p.id == a.ID
	if ok {
		delete(c.pending, s)
		p.ch <- a // has room: there is one answer a stream
	}
	c.mu.Unlock()
	if !ok {
		a.Held.Release()
	}
}

// pendingCall is a call waiting for its answer; ch is closed if none will come.
type pendingCall struct {
	id             call.RequestID
	ch             chan call.Answer
	endOnSuspicion bool // call.Request.EndOnSuspicion
	uncounted      bool // the answer is not a target's
}
