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

// A peer is killed after it read a call and before it answered. The retries
// it had already caused below it are never reported, so they count as the
// whole budget it was given: a caller that handed its whole budget on and
// then retried with all of it again would double the request's bound at
// every hop where an answer is lost.
func TestLostAnswersKeepTheRetryBound(t *testing.T) {
	Convey("What lost calls may have spent and the retries sent stay within the bound", t, func() {
		p1, p2 := startFakePeer(t, breaksOff), startFakePeer(t, breaksOff)
		g := fakeText(t, "idempotent = true\nretries = 2", p1, p2)
		base := startNode(t, g, "front-1", "http://127.0.0.1:1")
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
		sent := append(p1.requests(), p2.requests()...)
		So(len(sent), ShouldBeGreaterThanOrEqualTo, 2) // it did retry
		spent := len(sent) - 1
		for _, r := range sent {
			spent += r.Budget
		}
		So(spent, ShouldBeLessThanOrEqualTo, g.Retries)
	})
}

// The first try of a read is lost with its connection, after the target may
// have run it; the second is refused by another instance. The caller must
// not be told "not run" on the word of the second alone.
func TestRefusalAfterALostTryIsNotCalledNotRun(t *testing.T) {
	Convey("A try that may have run makes the answer unknown, not not_run", t, func() {
		var lost atomic.Bool
		script := func(call.Request) *call.Answer {
			if lost.CompareAndSwap(false, true) {
				return nil
			}
			return &call.Answer{Status: call.NotRun, Reason: "busy"}
		}
		g := fakeText(t, "idempotent = true\nretries = 2", startFakePeer(t, script), startFakePeer(t, script))
		base := startNode(t, g, "front-1", "http://127.0.0.1:1")
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
	})
}

// A target runs an approval and its connection breaks before the answer is
// out, on a connection that served a call before. net/http sends a request
// that carries an Idempotency-Key again by itself then, and the approval
// would run twice without any retry of the node's own.
func TestTargetCallIsNotSentAgainByTheTransport(t *testing.T) {
	Convey("A target that breaks off after running a call sees it once", t, func() {
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
				go breakSecond(nc, &runs)
			}
		}()
		g := fakeText(t, "idempotent = false", startFakePeer(t, breaksOff))
		base := startNode(t, g, "back-1", "http://"+l.Addr().String())
		st := callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.OK)
		st = callOp(t, base, "back", "op")
		So(st, ShouldEqual, call.Unknown)
		So(runs.Load(), ShouldEqual, 2)
	})
}

// breakSecond answers the first request on nc and keeps the connection,
// then reads the second and breaks off.
func breakSecond(nc net.Conn, runs *atomic.Int32) {
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
