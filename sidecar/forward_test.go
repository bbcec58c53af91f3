package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

func TestRequestIsForwardedUnchanged(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The target receives the caller's request and the caller the target's response", t, func() {
		id, got := m.send(context.Background(), m.vms[0], http.MethodPut, "/publish/a%2fb?x=1&y", "note",
			map[string]string{"X-Own": "kept", "Caller-Service": "forged", "Expected-Instance": "forged", "Connection": "X-Hop, close", "X-Hop": "dropped"})
		So(got.code, ShouldEqual, http.StatusOK)
		So(got.body, ShouldEqual, "answer of i-127.0.0.3")
		So(got.header.Get("Signature"), ShouldEqual, "s")
		So(got.header.Get("Request-Id"), ShouldEqual, id)
		target := m.vms[1].target
		So(target.last.RequestURI, ShouldEqual, "/publish/a%2fb?x=1&y")
		So(target.last.Method, ShouldEqual, http.MethodPut)
		So(target.body, ShouldEqual, "note")
		So(target.last.Header.Get("X-Own"), ShouldEqual, "kept")
		So(target.last.Header.Get("X-Hop"), ShouldEqual, "")
		So(target.last.Header.Get("Caller-Service"), ShouldEqual, "versand")
		So(target.last.Header.Get("Expected-Instance"), ShouldEqual, "i-127.0.0.3")
		ms, err := strconv.Atoi(target.last.Header.Get("Deadline-Ms"))
		So(err, ShouldBeNil)
		So(ms, ShouldBeBetween, 800, 1001)
	})
}

func TestInvalidRequestStatusCodes(t *testing.T) {
	m := newMesh(t, "archiv")
	Convey("Each gets its own status and is not executed", t, func() {
		v := m.vms[0]
		for _, c := range []struct {
			name, path, body string
			header           map[string]string
			code             int
		}{
			{"unknown path", "/none/", "", nil, http.StatusNotFound},
			{"no id", "/read/x", "", map[string]string{"Request-Id": ""}, http.StatusBadRequest},
			{"odd deadline", "/read/x", "", map[string]string{"Deadline-Ms": "soon"}, http.StatusBadRequest},
			{"negative deadline", "/read/x", "", map[string]string{"Deadline-Ms": "-1"}, http.StatusBadRequest},
			{"long body", "/publish/x", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		} {
			id, got := m.send(context.Background(), v, http.MethodPost, c.path, c.body, c.header)
			So(c.name+" "+strconv.Itoa(got.code), ShouldEqual, c.name+" "+strconv.Itoa(c.code))
			So(v.target.runCount(id), ShouldEqual, 0)
		}
		Convey("A request without a deadline gets the route's timeout", func() {
			_, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", map[string]string{"Deadline-Ms": ""})
			So(got.code, ShouldEqual, http.StatusOK)
			ms, _ := strconv.Atoi(v.target.last.Header.Get("Deadline-Ms"))
			So(ms, ShouldBeBetween, 800, 1001)
		})
	})
}

// If a target's connection fails before the response, a non-idempotent request
// must not be retried, because it may have been executed. An idempotent one is
// retried on another instance.
func TestLostResponseIsRetriedOnlyIfIdempotent(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	breakConnection := func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}
	Convey("A publish request runs once and gets 502; a read is retried on another instance", t, func() {
		for _, v := range m.vms[1:] {
			v.target.handleWith(breakConnection)
		}
		id, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusBadGateway)
		So(m.vms[1].target.runCount(id)+m.vms[2].target.runCount(id), ShouldEqual, 1)
		m.vms[2].target.handleWith(func(w http.ResponseWriter, r *http.Request) { writeSigned(w, r, http.StatusOK, "whole") })
		for range 4 {
			id, got = m.get(m.vms[0], "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "whole")
			So(m.vms[1].target.runCount(id)+m.vms[2].target.runCount(id), ShouldBeLessThanOrEqualTo, 2)
		}
	})
}

// A request refused by one target is retried on another. If all refuse, the
// caller gets 503 with Retry-After.
func TestTargetRefusalIsRetried(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	refuse := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	Convey("A single refusal is retried; refusals by all instances give 503", t, func() {
		m.vms[1].target.handleWith(refuse)
		for range 4 {
			_, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
			So(got.code, ShouldEqual, http.StatusOK)
		}
		m.vms[2].target.handleWith(refuse)
		_, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(after, ShouldBeBetween, 0.01, 1)
		So(got.header.Get("Signature"), ShouldEqual, "")
	})
}

// The address of an instance has been reused by another service, and the
// sender's directory is outdated. The request must not be executed there.
func TestRequestToReusedAddressIsNotExecuted(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The other instance and its node refuse the request", t, func() {
		m.vms[1].target.id = "i-later"
		id, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		later := m.vms[1].self
		later.ID, later.Service, later.Revision = "i-later", "rankings", 5
		m.vms[1].dir.Apply([]directory.Change{{Instance: &later}}, 5)
		id, got = m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
	})
}

// The route's timeout ends a request even if its caller would wait longer.
func TestRouteTimeout(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("504 at the route's timeout", t, func() {
		m.vms[1].target.handleWith(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		began := time.Now()
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(began), ShouldBeBetween, 900*time.Millisecond, 1400*time.Millisecond)
	})
}

// A disconnecting caller cancels an idempotent request at the target, but not
// a non-idempotent one, whose outcome would be unknown.
func TestCallerDisconnectCancelsRead(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The target of a read sees its connection close, that of a publish request does not", t, func() {
		for _, c := range []struct {
			method, path string
			stops        bool
		}{{http.MethodGet, "/read/x", true}, {http.MethodPost, "/publish/x", false}} {
			began := make(chan struct{}, 1)
			stopped := make(chan bool, 1)
			m.vms[1].target.handleWith(func(_ http.ResponseWriter, r *http.Request) {
				began <- struct{}{}
				select {
				case <-r.Context().Done():
					stopped <- true
				case <-time.After(400 * time.Millisecond):
					stopped <- false
				}
			})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { <-began; cancel() }()
			m.send(ctx, m.vms[0], c.method, c.path, "n", nil)
			So(<-stopped, ShouldEqual, c.stops)
			cancel()
		}
	})
}

func requestID(s string) call.RequestID { return call.RequestID(s) }

// A node restarted while the directory source is unavailable must load the
// directory from a seed.
func TestRestartedNodeLoadsDirectoryFromSeed(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("It queries the seeds in order until one answers", t, func() {
		m.seeds = []string{"127.0.0.9:1", m.vms[1].node.cfg.ControlAddr}
		v := m.startVM("127.0.0.4", "rankings")
		m.vms = append(m.vms, v)
		for range 50 {
			if v.dir.HasSnapshot() {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		_, got := m.get(v, "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(readyCode(v), ShouldEqual, http.StatusOK)
	})
}

// A stalled request body must not hold its connection longer than the
// request's deadline.
func TestStalledBodyTimesOut(t *testing.T) {
	m := newMesh(t, "archiv")
	Convey("408 at the request's deadline", t, func() {
		c, err := net.Dial("tcp", m.vms[0].node.cfg.CallerAddr)
		So(err, ShouldBeNil)
		defer c.Close()
		io.WriteString(c, "PUT /publish/x HTTP/1.1\r\nHost: h\r\nRequest-Id: half\r\nDeadline-Ms: 300\r\nContent-Length: 10\r\n\r\nabc")
		began := time.Now()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(time.Since(began), ShouldBeBetween, 250*time.Millisecond, 900*time.Millisecond)
		So(m.vms[0].target.runCount("half"), ShouldEqual, 0)
	})
}

// Guards against callers that are cut although they send their headers within the
// time that the deployment allows, because the node allows a fixed time.
func TestSlowHeaderIsRead(t *testing.T) {
	const allowed = 6 * time.Second // twice what known deployments allow
	m := newMesh(t, "archiv")
	Convey("A header that takes most of the allowed time is read", t, func() {
		c, err := net.Dial("tcp", m.vms[0].node.cfg.CallerAddr)
		So(err, ShouldBeNil)
		defer c.Close()
		_, err = io.WriteString(c, "GET /read/x HTTP/1.1\r\nHost: h\r\n")
		So(err, ShouldBeNil)
		time.Sleep(allowed * 9 / 10)
		_, err = io.WriteString(c, "Request-Id: slow\r\n\r\n")
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
	})
}
