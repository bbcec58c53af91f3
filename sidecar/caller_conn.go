package sidecar

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// answerStallTimeout is how long a caller may read nothing while an answer to
	// it is written before its connection is closed.
	answerStallTimeout = 5 * time.Second
	// stallCheckInterval is how often the progress of a blocked write is checked.
	stallCheckInterval = answerStallTimeout / 10
)

type (
	// callerListener accepts connections from callers.
	callerListener struct {
		net.Listener
		conns *callerConns
	}

	// callerConn is a connection from a caller. A write fails if the caller reads
	// nothing for answerStallTimeout, because one that is frozen, or sends requests
	// and reads no answers, would otherwise hold an answer in memory without end
	// and keep the node from stopping. A caller that reads slowly is not cut.
	callerConn struct{ net.Conn }
)

// Accept waits for the next connection, and for room for it.
func (l callerListener) Accept() (net.Conn, error) {
	l.conns.awaitRoom()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return callerConn{c}, nil
}

// Write writes b. The error wraps os.ErrDeadlineExceeded if the caller stalls.
func (c callerConn) Write(b []byte) (int, error) {
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
		if time.Since(progressed) >= answerStallTimeout {
			return written, err
		}
	}
}
