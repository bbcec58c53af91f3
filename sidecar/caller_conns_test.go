package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a request that runs, and whose answer is lost, because its idle
// connection was closed for another while the request was being read.
func TestRequestOnConnectionClosedForAnotherDoesNotRun(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	Convey("The handler ends without running it", t, func() {
		conn, other := net.Pipe()
		defer other.Close()
		c := newCallerConns(1)
		v.node.callerConns = c
		c.track(conn, http.StateNew)
		c.track(conn, http.StateIdle)
		So(c.makeRoom(true), ShouldBeTrue)
		c.track(conn, http.StateActive) // its request had arrived
		r := httptest.NewRequest(http.MethodPost, "http://h/publish/x", nil)
		r.Header.Set("Request-Id", "crossed")
		So(func() {
			v.node.serveCaller(httptest.NewRecorder(), r.WithContext(withCallerConn(context.Background(), conn)))
		}, ShouldPanicWith, http.ErrAbortHandler)
		So(v.target.runCount("crossed"), ShouldEqual, 0)
	})
}

// Guards against callers that lose their connections between two requests, or wait
// without end, because others open connections and leave them idle.
func TestLongIdleConnectionsAreClosedFirst(t *testing.T) {
	Convey("First those idle for long, then the one idle for longest, never one in use", t, func() {
		c := newCallerConns(4)
		conns := make([]net.Conn, 4)
		for i := range conns {
			conn, other := net.Pipe()
			defer other.Close()
			conns[i] = conn
		}
		used, brief, unused, long := conns[0], conns[1], conns[2], conns[3]
		now := time.Now()
		c.open[used] = callerConnState{ConnState: http.StateActive, since: now.Add(-time.Hour)}
		c.open[brief] = callerConnState{ConnState: http.StateIdle, since: now.Add(-longIdle / 2)}
		c.open[unused] = callerConnState{ConnState: http.StateNew, since: now}
		c.open[long] = callerConnState{ConnState: http.StateIdle, since: now.Add(-2 * longIdle)}
		for _, step := range []struct {
			anyIdle bool
			closed  net.Conn // nil for none
		}{{false, long}, {false, nil}, {true, brief}, {true, nil}} {
			before := c.closing()
			So(c.makeRoom(step.anyIdle), ShouldEqual, step.closed != nil)
			So(c.closing()-before, ShouldEqual, map[bool]int{true: 1}[step.closed != nil])
			if step.closed != nil {
				So(c.open[step.closed].closing, ShouldBeTrue)
				c.open[&net.TCPConn{}] = callerConnState{ConnState: http.StateActive, since: now} // the next one
			}
		}
	})
}

// closing returns how many connections are being closed for others.
func (c *callerConns) closing() int {
	n := 0
	for _, s := range c.open {
		if s.closing {
			n++
		}
	}
	return n
}
