package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// largeAnswer is the size of an answer that no socket buffer holds, in bytes.
	largeAnswer = 32 << 20
	stalledBody = 900 // bytes
)

// stallCaller sends a request with a body and reads nothing of its answer, which
// is large.
func stallCaller(m *mesh, v *vm) net.Conn {
	v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		body := ""
		if r.Header.Get("Request-Id") == "stalled" {
			body = strings.Repeat(".", largeAnswer)
		}
		writeSigned(w, r, http.StatusOK, body)
	})
	c, err := net.Dial("tcp", v.node.cfg.CallerAddr)
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "POST /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: stalled\r\nContent-Length: %d\r\n\r\n%s", stalledBody, strings.Repeat("x", stalledBody))
	for range 200 {
		if v.target.runCount("stalled") == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond) // for the answer to fill the socket buffers
	return c
}

// Guards against callers that are refused for want of memory because others do
// not read their answers.
func TestCallerThatDoesNotReadHoldsNoBody(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	tuning := v.node.cfg.Tuning
	tuning.MaxHeldBodyBytes = stalledBody
	v.node.Tune(tuning)
	Convey("Another caller's body is taken while the answer is not read", t, func() {
		stallCaller(m, v)
		So(v.target.runCount("stalled"), ShouldEqual, 1)
		So(v.node.activeRequests.Load(), ShouldEqual, 1)
		_, got := m.send(t.Context(), v, http.MethodPost, "/read/y", strings.Repeat("y", stalledBody), nil)
		So(got.code, ShouldEqual, http.StatusOK)
	})
}
