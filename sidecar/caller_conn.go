package sidecar

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
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
	callerListener struct{ net.Listener }

	// callerConn is a connection from a caller. A write fails if the caller reads
	// nothing for answerStallTimeout, because one that is frozen, or sends requests
	// and reads no answers, would otherwise hold an answer in memory without end
	// and keep the node from stopping. A caller that reads slowly is not cut.
	callerConn struct{ net.Conn }

	// unusedConns are the connections from callers on which no request has been
	// read yet. http.Server.Shutdown keeps them open for seconds. It is safe for
	// concurrent use.
	unusedConns struct {
		mu   sync.Mutex
		open map[net.Conn]struct{}
	}
)

// track is the ConnState hook of the callers' server.
func (u *unusedConns) track(c net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateNew {
		u.open[c] = struct{}{}
	} else {
		delete(u.open, c)
	}
}

// close closes the connections.
func (u *unusedConns) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for c := range u.open {
		c.Close()
	}
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
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
