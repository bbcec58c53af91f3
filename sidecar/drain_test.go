package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// A node with a short grace period must refuse new requests early enough to
// finish those it has accepted.
func TestDrainingNodeRefusesNewRequestsEarly(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	getAfter := func(since time.Duration) int {
		v.node.drainStart.Store(new(time.Now().Add(-since)))
		_, got := m.get(v, "/read/x")
		return got.code
	}
	Convey("New requests are refused after half of the grace period", t, func() {
		So(v.node.cfg.ShutdownGrace, ShouldEqual, 3*time.Second)
		So(getAfter(time.Second), ShouldEqual, http.StatusOK)
		So(getAfter(1600*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		So(getAfter(2500*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		v.node.drainStart.Store(nil)
	})
}

// Guards against requests that a stopping node accepts and cuts, whatever its
// grace period and the timeouts of its routes are.
func TestDrainingNodeAcceptsWhatEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(time.Millisecond), int64(most)).Draw(t, name))
		}
		p := drainPolicy{grace: draw("grace", 2*time.Minute)}
		since, remaining := draw("since", 2*time.Minute), draw("remaining", time.Minute)
		idempotent := rapid.Bool().Draw(t, "idempotent")
		limit, known := p.limit()
		if !known || limit >= p.grace || limit < p.grace*5/6 {
			t.Fatalf("serves %s of %s", limit, p.grace)
		}
		mayBeCut := since+remaining > limit
		if p.acceptsNew(since, remaining, idempotent) && mayBeCut && (!idempotent || since > noticePeriod) {
			t.Fatal("accepts a new request that may be cut")
		}
		if p.acceptsPeer(since, peerDrainDelay, remaining, idempotent) && mayBeCut && !idempotent {
			t.Fatal("accepts a peer's request that may be cut")
		}
		unknown := drainPolicy{grace: -1}
		if unknown.acceptsNew(since, remaining, idempotent) != (since <= noticePeriod) {
			t.Fatal("the time left decides although every request is waited for")
		}
	})
}

// Guards against actions that are cut, with nobody knowing whether they ran,
// because the route's timeout is longer than what is left of the grace period.
func TestDrainingNodeRefusesWhatItMayNotFinish(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	v.node.drain = drainPolicy{grace: 20 * time.Second}
	route := func(prefix string, timeout time.Duration, idempotent bool) directory.Route {
		return directory.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: idempotent, MaxInstances: 1, Timeout: timeout, Shares: []directory.Share{{Service: "archiv", Weight: 1}}}
	}
	r, err := directory.NewRoutes(2, directory.Limits{}, []directory.Route{
		route("/act/short/", 15*time.Second, false), route("/act/long/", 19*time.Second, false), route("/get/long/", 19*time.Second, true)})
	if err != nil {
		t.Fatal(err)
	}
	v.dir.Apply([]directory.Change{{Routes: r}}, 2)
	for _, c := range []struct {
		since time.Duration
		path  string
		code  int
	}{{time.Second, "/act/short/", http.StatusOK}, {time.Second, "/act/long/", http.StatusServiceUnavailable}, {time.Second, "/get/long/", http.StatusOK},
		{7 * time.Second, "/act/short/", http.StatusServiceUnavailable}, {7 * time.Second, "/get/long/", http.StatusServiceUnavailable}} {
		Convey(fmt.Sprintf("%s %s after the signal", c.path, c.since), t, func() {
			v.node.drainStart.Store(new(time.Now().Add(-c.since)))
			id, got := m.send(context.Background(), v, http.MethodPost, c.path, "", map[string]string{"Deadline-Ms": ""})
			So(got.code, ShouldEqual, c.code)
			So(v.target.runCount(id), ShouldEqual, map[int]int{http.StatusOK: 1}[c.code])
		})
	}
	v.node.drainStart.Store(nil)
}

// Guards against a request that runs and is cut because it came, on a connection
// without earlier requests, while the node was closing.
func TestRequestToClosingNodeIsNotRun(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	v.node.drain = drainPolicy{grace: 6 * time.Second}
	v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * closeTimeout)
		writeSigned(w, r, http.StatusOK, "")
	})
	Convey("It is refused, or its connection is closed", t, func() {
		c, err := net.Dial("tcp", v.node.cfg.CallerAddr)
		So(err, ShouldBeNil)
		defer c.Close()
		stopped := make(chan struct{})
		go func() { v.node.Shutdown(context.Background()); close(stopped) }()
		time.Sleep(minDrainTime)
		m.awaitClosed(v.node.cfg.CallerAddr)
		fmt.Fprint(c, "POST /publish/x HTTP/1.1\r\nHost: h\r\nRequest-Id: late\r\nContent-Length: 0\r\n\r\n")
		<-stopped
		So(c.SetReadDeadline(time.Now().Add(closeTimeout)), ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(v.target.runCount("late"), ShouldEqual, 0)
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return // closed before it was read
		}
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// Guards against a stop that lasts until the connections that callers opened and
// have not used yet time out.
func TestUnusedConnectionsDoNotDelayStop(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	Convey("The node stops soon after its shortest time", t, func() {
		c, err := net.Dial("tcp", v.node.cfg.CallerAddr)
		So(err, ShouldBeNil)
		defer c.Close()
		began := time.Now()
		v.node.Shutdown(context.Background())
		So(time.Since(began), ShouldBeLessThan, minDrainTime+time.Second)
	})
}

// The clock of a VM is set back while its node stops. Guards against a node that takes
// the stop for not begun yet: it accepted new requests to the end and cut them.
func TestStopIsTimedByMonotonicClock(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	stopped := make(chan struct{})
	go func() { v.node.Shutdown(context.Background()); close(stopped) }()
	for v.node.drainStart.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	Convey("The start of the stop has a reading of the monotonic clock", t, func() {
		So(hasMonotonic(*v.node.drainStart.Load()), ShouldBeTrue)
		So(hasMonotonic(time.Unix(0, time.Now().UnixNano())), ShouldBeFalse)
	})
	<-stopped
}

// hasMonotonic reports whether differences to t ignore settings of the wall clock.
func hasMonotonic(t time.Time) bool { return strings.Contains(t.String(), " m=") }
