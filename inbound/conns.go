package inbound

import (
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxRoomWait is how long the next connection waits for one that has been unused
	// for long. Then any idle one is closed for it.
	maxRoomWait = 100 * time.Millisecond
	// roomPollInterval is how often a full server looks for idle connections.
	roomPollInterval = 5 * time.Millisecond
)

type (
	// connSet is the open connections of a server. When they reach their limit, the one
	// that has been idle for longest is closed for the next, and if none is idle, the
	// next waits: clients must not use up the descriptors that the process needs for
	// requests in progress. It is safe for concurrent use.
	connSet struct {
		limit    int
		longIdle time.Duration // idle, or unused since it was opened, to be closed at once

		mu   sync.Mutex
		open map[net.Conn]connState
	}

	connState struct {
		http.ConnState
		since   time.Time
		closing bool // closed for another connection
	}
)

func newConnSet(limit int, longIdle time.Duration) *connSet {
	return &connSet{limit: limit, longIdle: longIdle, open: map[net.Conn]connState{}}
}

// track records the state of a connection.
func (c *connSet) track(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.open, conn)
		return
	}
	c.open[conn] = connState{ConnState: state, since: time.Now(), closing: c.open[conn].closing}
}

// isClosing reports whether a connection was closed for another one.
func (c *connSet) isClosing(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[conn].closing
}

// closeUnused closes the connections that have carried no request yet.
func (c *connSet) closeUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn, s := range c.open {
		if s.ConnState == http.StateNew {
			conn.Close()
		}
	}
}

// awaitRoom waits until there are fewer connections than the limit.
func (c *connSet) awaitRoom() {
	for began := time.Now(); !c.makeRoom(time.Since(began) >= maxRoomWait); {
		time.Sleep(roomPollInterval)
	}
}

// makeRoom reports whether there is room for another connection. If not, it closes
// the one that has been idle for longest: for c.longIdle at least, unless anyIdle.
func (c *connSet) makeRoom(anyIdle bool) bool {
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
		if c.idle(s, now, anyIdle) && (oldest == nil || s.since.Before(c.open[oldest].since)) {
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

// idle reports whether a connection can be closed for another.
func (c *connSet) idle(s connState, now time.Time, anyIdle bool) bool {
	long := now.Sub(s.since) > c.longIdle
	return (s.ConnState == http.StateNew && long) || (s.ConnState == http.StateIdle && (long || anyIdle))
}
