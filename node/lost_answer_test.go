package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against exceeding the retry budget when answers are lost. Retries
// below a lost call are never reported, so the whole budget passed on with it
// must count as spent.
func TestLostAnswersStayWithinRetryBudget(t *testing.T) {
	Convey("Budget passed on with lost calls plus retries sent stays within the budget", t, func() {
		p1, p2 := startFakePeer(t, disconnect), startFakePeer(t, disconnect)
		g := fakeGraph(t, "idempotent = true\nretries = 2", p1, p2)
		base := startNode(t, g, "front-1", "http://127.0.0.1:1")
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
		sent := append(p1.requests(), p2.requests()...)
		So(len(sent), ShouldBeGreaterThanOrEqualTo, 2) // at least one retry was sent
		spent := len(sent) - 1
		for _, r := range sent {
			spent += r.RetryBudget
		}
		So(spent, ShouldBeLessThanOrEqualTo, g.RetryBudget)
	})
}

// Guards against answering NotRun when the last attempt was refused but an
// earlier one, whose answer was lost, may have run.
func TestRefusalAfterLostAnswerIsUnknown(t *testing.T) {
	Convey("An attempt that may have run makes the answer unknown, not not_run", t, func() {
		var lost atomic.Bool
		script := func(call.Request) *call.Answer {
			if lost.CompareAndSwap(false, true) {
				return nil
			}
			return &call.Answer{Status: call.NotRun, Reason: "busy"}
		}
		g := fakeGraph(t, "idempotent = true\nretries = 2", startFakePeer(t, script), startFakePeer(t, script))
		base := startNode(t, g, "front-1", "http://127.0.0.1:1")
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
	})
}

// Guards against net/http resending a request with an Idempotency-Key header
// after a reused connection breaks, which would run the call twice.
func TestTransportDoesNotResendKeyedCall(t *testing.T) {
	Convey("A target that disconnects after running a call receives it once", t, func() {
		var runs atomic.Int32
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			for {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				go disconnectOnSecond(nc, &runs)
			}
		}()
		g := fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect))
		base := startNode(t, g, "back-1", "http://"+l.Addr().String())
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.OK)
		st = callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
		So(runs.Load(), ShouldEqual, 2)
	})
}

// disconnectOnSecond answers the first request on nc and closes the
// connection after reading the second.
func disconnectOnSecond(nc net.Conn, runs *atomic.Int32) {
	defer nc.Close()
	br := bufio.NewReader(nc)
	for i := range 2 {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		runs.Add(1)
		if i == 0 {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}
