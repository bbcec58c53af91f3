package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// callerDescriptorDivisor is the part of the process's descriptors that
	// connections from callers may use. The rest is for other nodes, the target,
	// the directory source and readiness checks.
	callerDescriptorDivisor = 2
	// assumedDescriptors is the descriptor limit if the system states none.
	assumedDescriptors = 1024
	// longIdle is how long a connection must have been idle, or unused since it was
	// opened, to be closed for another at once.
	longIdle = time.Second
	// maxRoomWait is how long the next connection waits for one that has been idle
	// for longIdle. Then any idle one is closed for it.
	maxRoomWait = 100 * time.Millisecond
	// roomPollInterval is how often a full node looks for idle connections.
	roomPollInterval = 5 * time.Millisecond
)

type (
	// callerConns are the open connections from callers. When they reach their
	// limit, the one that has been idle for longest is closed for the next, and if
	// none is idle, the next waits: callers must not use up the descriptors that
	// the node needs for requests in progress. It is safe for concurrent use.
	callerConns struct {
		limit int

		mu   sync.Mutex
		open map[net.Conn]callerConnState
	}

	callerConnState struct {
		http.ConnState
		since   time.Time
		closing bool // closed for another connection
	}

	// callerConnKey is the key of a request's connection in its context.
	callerConnKey struct{}
)

// withCallerConn is the ConnContext hook of the callers' server.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

func newCallerConns(limit int) *callerConns {
	return &callerConns{limit: limit, open: map[net.Conn]callerConnState{}}
}

// maxDescriptors returns the descriptor limit of the process.
func maxDescriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return assumedDescriptors
	}
	return int(min(l.Cur, 1<<30)) // no limit is the largest number
}

// track is the ConnState hook of the callers' server.
func (c *callerConns) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = callerConnState{ConnState: state, since: time.Now(), closing: c.open[conn].closing}
}

// closedBefore reports whether the connection of a request was closed for another
// one before the request began. Such a request must not run, because its answer
// cannot be delivered.
func (c *callerConns) closedBefore(r *http.Request) bool {
	conn, ok := r.Context().Value(callerConnKey{}).(net.Conn)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[conn].closing
}

// closeUnused closes the connections that have carried no request yet.
func (c *callerConns) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.ConnState == http.StateNew {
			conn.Close()
		}
	}
}

// awaitRoom waits until there are fewer connections than the limit.
func (c *callerConns) awaitRoom() {
	for began := time.Now(); !c.makeRoom(time.Since(began) >= maxRoomWait); {
		time.Sleep(roomPollInterval)
	}
}

// makeRoom reports whether there is room for another connection. If not, it closes
// the one that has been idle for longest: for longIdle at least, unless anyIdle.
func (c *callerConns) makeRoom(anyIdle bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) < c.limit {
		return true
	}
	now, kept := time.Now(), 0
	var oldest net.Conn
	for conn, s := range c.open {
		if s.closing {
			continue
		}
		kept++
		if s.idle(now, anyIdle) && (oldest == nil || s.since.Before(c.open[oldest].since)) {
			oldest = conn
		}
	}
	if kept >= c.limit && oldest != nil {
		s := c.open[oldest]
		s.closing = true
		c.open[oldest] = s
		oldest.Close()
		kept--
	}
	return kept < c.limit
}

// idle reports whether the connection can be closed for another.
func (s callerConnState) idle(now time.Time, anyIdle bool) bool {
	long := now.Sub(s.since) > longIdle
	return (s.ConnState == http.StateNew && long) || (s.ConnState == http.StateIdle && (long || anyIdle))
}
