package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/inbound"
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

// awaitAnswer waits, within a bound, for the node of v to have the whole answer of
// its target. Until then it rightly holds the body of the request.
func awaitAnswer(v *vm) {
	for until := time.Now().Add(inbound.AnswerStallTimeout / 2); v.node.held.Used() > 0 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
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
		awaitAnswer(v)
		_, got := m.send(t.Context(), v, http.MethodPost, "/read/y", strings.Repeat("y", stalledBody), nil)
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// Guards against answers that stay in memory without end because their callers
// do not read them.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	Convey("The request ends soon after the stall timeout", t, func() {
		stallCaller(m, v)
		So(v.node.activeRequests.Load(), ShouldEqual, 1)
		time.Sleep(inbound.AnswerStallTimeout + time.Second)
		So(v.node.activeRequests.Load(), ShouldEqual, 0)
	})
}

// Guards against answers that are cut because their callers read slowly, and
// against later answers on the connection that are cut by their time limit.
func TestCallerThatReadsSlowlyGetsWholeAnswer(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	Convey("An answer that takes longer than the stall timeout is whole, and so is the next", t, func() {
		c := stallCaller(m, v)
		r := bufio.NewReader(c)
		resp, err := http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		began, read := time.Now(), int64(0)
		for err == nil {
			var n int64
			n, err = io.CopyN(io.Discard, resp.Body, largeAnswer/32)
			read += n
			time.Sleep(inbound.AnswerStallTimeout / 30)
		}
		So(err, ShouldEqual, io.EOF)
		So(read, ShouldEqual, largeAnswer)
		So(time.Since(began), ShouldBeGreaterThan, inbound.AnswerStallTimeout)
		time.Sleep(inbound.AnswerStallTimeout)
		fmt.Fprint(c, "GET /read/z HTTP/1.1\r\nHost: h\r\nRequest-Id: next\r\n\r\n")
		resp, err = http.ReadResponse(r, nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
	})
}

// Guards against a request that is held without end, and a node that does not
// stop, because a caller sends many requests at once and reads no answer.
func TestCallerThatPipelinesAndDoesNotReadIsDisconnected(t *testing.T) {
	const answerSize = 12 << 10
	for _, c := range []struct{ name, path string }{{"answers of the target", "/read/x"}, {"the node's own answers", "/nowhere/" + strings.Repeat("x", 2000)}} {
		Convey("The last request ends soon after the stall timeout, for "+c.name, t, func() {
			m := newMesh(t, "archiv")
			v := m.vms[0]
			v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
				writeSigned(w, r, http.StatusOK, strings.Repeat(".", answerSize))
			})
			conn, err := net.Dial("tcp", v.node.cfg.CallerAddr)
			So(err, ShouldBeNil)
			defer conn.Close()
			began, cut := time.Now(), make(chan error, 1)
			go func() { cut <- pipeline(conn, c.path) }()
			select {
			case err = <-cut:
			case <-time.After(4 * inbound.AnswerStallTimeout):
			}
			So(err, ShouldNotBeNil)
			So(time.Since(began), ShouldBeGreaterThan, inbound.AnswerStallTimeout)
			time.Sleep(100 * time.Millisecond) // for the handler to return
			So(v.node.activeRequests.Load(), ShouldEqual, 0)
		})
	}
}

// pipeline sends requests until the connection breaks and reads no answer.
func pipeline(conn net.Conn, path string) error {
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\n\r\n", path, i); err != nil {
			return err
		}
	}
}
