package inbound

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against callers that lose their connections between two requests, or wait
// without end, because others open connections and leave them idle.
func TestLongIdleConnectionsAreClosedFirst(t *testing.T) {
	Convey("First those idle for long, then the one idle for longest, never one in use", t, func() {
		c := newConnSet(4, DefaultUnusedTime)
		conns := make([]net.Conn, 4)
		for i := range conns {
			conn, other := net.Pipe()
			defer other.Close()
			conns[i] = conn
		}
		used, brief, unused, long := conns[0], conns[1], conns[2], conns[3]
		now := time.Now()
		c.open[used] = connState{ConnState: http.StateActive, since: now.Add(-time.Hour)}
		c.open[brief] = connState{ConnState: http.StateIdle, since: now.Add(-DefaultUnusedTime / 2)}
		c.open[unused] = connState{ConnState: http.StateNew, since: now}
		c.open[long] = connState{ConnState: http.StateIdle, since: now.Add(-2 * DefaultUnusedTime)}
		for _, step := range []struct {
			anyIdle bool
			closed  net.Conn // nil for none
		}{{false, long}, {false, nil}, {true, brief}, {true, nil}} {
			before := c.closing()
			So(c.makeRoom(step.anyIdle), ShouldEqual, step.closed != nil)
			So(c.closing()-before, ShouldEqual, map[bool]int{true: 1}[step.closed != nil])
			if step.closed != nil {
				So(c.open[step.closed].closing, ShouldBeTrue)
				c.open[&net.TCPConn{}] = connState{ConnState: http.StateActive, since: now} // the next one
			}
		}
	})
}

// closing returns how many connections are being closed for others.
func (c *connSet) closing() int {
	n := 0
	for _, s := range c.open {
		if s.closing {
			n++
		}
	}
	return n
}
