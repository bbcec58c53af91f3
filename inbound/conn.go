package inbound

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/oatpin/oatpin/memory"
	"github.com/rotisserie/eris"
)

const (
	// AnswerStallTimeout is how long a client may read nothing while an answer to it is
	// written before its connection is closed.
	AnswerStallTimeout = 5 * time.Second
	// stallCheckInterval is how often the progress of a blocked write is checked.
	stallCheckInterval = AnswerStallTimeout / 10
	// refusalLinger is how long, and refusalBytes how much, is read from a client whose
	// head was refused. Closing beside unread bytes would reset the connection before
	// the client has read why.
	refusalLinger = 500 * time.Millisecond
	refusalBytes  = 256 << 10
)

// errHeadRefused ends a connection whose head was refused.
var errHeadRefused = eris.New("head refused")

type (
	// listener accepts connections of a Server.
	listener struct {
		net.Listener
		server *Server
	}

	// conn is a connection from a client.
	//
	// It counts heads as they are read, whatever net/http makes of them, and applies the
	// limits in force: those of an http.Server cannot change.
	//
	// A write fails if the client reads nothing for AnswerStallTimeout, because one that
	// is frozen, or sends requests and reads no answers, would otherwise hold an answer
	// in memory without end and keep the node from stopping. A client that reads slowly
	// is not cut.
	conn struct {
		net.Conn
		server *Server

		// Guarded by server.cfg.Heads.
		cost    int64 // of its head
		evicted bool  // closed for another head

		mu        sync.Mutex // guards the fields below
		reading   bool       // a head is read or awaited
		used      bool       // it has carried a request
		head      headScan
		deadlines int // set for the head that is read or awaited
	}
)

// Accept waits for the next connection, and for room for it.
func (l listener) Accept() (net.Conn, error) {
	l.server.conns.awaitRoom()
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, server: l.server, reading: true}, nil
}

// Read reads into b. What belongs to a head is counted; the connection ends with an
// answer if that is refused.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	why := c.countHead(b[:n])
	if errors.Is(err, os.ErrDeadlineExceeded) && c.inHead() {
		why = TooSlow
	}
	if why != "" {
		c.refuse(why, b)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	}
	return n, err
}

// countHead counts the bytes that belong to a head.
func (c *conn) countHead(b []byte) Cause {
	c.mu.Lock()
	if !c.reading || len(b) == 0 {
		c.mu.Unlock()
		return ""
	}
	size, lines := c.head.scan(b)
	tooLarge, whole := c.head.size > c.server.cfg.Limits().maxHead(), c.head.ended
	c.mu.Unlock()
	switch {
	case tooLarge:
		return TooLarge
	case size == 0:
		return ""
	}
	return c.server.cfg.Heads.take(c, memory.HeadCost(size, lines), whole)
}

// inHead reports whether a part of a head has been read.
func (c *conn) inHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading && c.head.size > 0
}

// refuse answers a head that is refused. Its request was not read, so it never runs.
func (c *conn) refuse(why Cause, scratch []byte) {
	c.server.cfg.Heads.release(c)
	if why == Evicted {
		return
	}
	c.server.refused(why)
	until := time.Now().Add(refusalLinger)
	if c.Conn.SetDeadline(until) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, why.answer()); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	for read := 0; read < refusalBytes; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			return
		}
		read += n
	}
}

// SetReadDeadline sets the deadline of reads. net/http sets one in the future only for
// a head, or for the time before it: in its place comes that of the limits in force.
func (c *conn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.After(now) {
		t = c.deadline(now, t)
	}
	return c.Conn.SetReadDeadline(t)
}

func (c *conn) deadline(now, set time.Time) time.Time {
	c.mu.Lock()
	if !c.reading {
		c.mu.Unlock()
		return set
	}
	c.deadlines++
	idle := c.used && c.deadlines == 1
	// The head has begun though nothing was read since the last request.
	begunBefore := !idle && c.used && c.deadlines == 2 && c.head.size == 0
	if begunBefore {
		c.head.skipStart(readBytes)
	}
	c.mu.Unlock()
	if begunBefore {
		// It may be any part of what was read with that request.
		if why := c.server.cfg.Heads.take(c, memory.HeadCost(readBytes, readBytes/len("a:\r\n")), false); why != "" {
			c.Conn.Close()
			c.server.refused(why)
		}
	}
	if idle {
		return c.server.cfg.Limits().idleDeadline(now)
	}
	return c.server.cfg.Limits().headDeadline(now)
}

// awaitHead begins the time between two requests.
func (c *conn) awaitHead() {
	c.mu.Lock()
	c.reading, c.used, c.head, c.deadlines = true, true, headScan{}, 0
	c.mu.Unlock()
	c.server.cfg.Heads.release(c)
}

// endHead begins a request; its head counts until it has ended.
func (c *conn) endHead(r *http.Request) Cause {
	c.mu.Lock()
	c.reading = false
	c.mu.Unlock()
	return c.server.cfg.Heads.finish(c, headCost(r))
}

// Write writes b. The error wraps os.ErrDeadlineExceeded if the client stalls.
func (c *conn) Write(b []byte) (int, error) {
	written, progressed := 0, time.Now()
	for {
		now := time.Now()
		if err := c.SetWriteDeadline(now.Add(stallCheckInterval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:])
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, errors.Join(err, c.SetWriteDeadline(time.Time{}))
		}
		if n > 0 {
			progressed = now
		}
		if time.Since(progressed) >= AnswerStallTimeout {
			return written, err
		}
	}
}
