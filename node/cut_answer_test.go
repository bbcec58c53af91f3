package node_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/oatpin/oatpin/answertest"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an answer of the local target that is cut anywhere and passed on as a
// success, or as a promise that the call has not run.
func TestCutAnswerOfTargetIsUnknown(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n" + call.HeaderStatus + ": not_run\r\nContent-Length: 4\r\n\r\nfull",
	} {
		Convey(answer[:12], t, func() {
			var cut atomic.Int64
			target := answertest.Serve(t, func(c *net.TCPConn) { io.WriteString(c, answer[:cut.Load()]) })
			base := startNode(t, fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect)), "back-1", "http://"+target)
			for i := range len(answer) {
				cut.Store(int64(i))
				if st := callOp(t, base, "back", "op"); st != call.Unknown {
					t.Fatalf("cut after %q: %s", answer[:i], st)
				}
			}
		})
	}
}

// Guards against an answer of the local target whose head is invalid.
func TestMalformedAnswerOfTargetIsUnknown(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 000 Trouble\r\n" + call.HeaderStatus + ": not_run\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX Trouble: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwholeand more",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x7fTrouble: 1\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		Convey(answer, t, func() {
			target := answertest.Serve(t, func(c *net.TCPConn) { io.WriteString(c, answer) })
			base := startNode(t, fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect)), "back-1", "http://"+target)
			So(callOp(t, base, "back", "op"), ShouldEqual, call.Unknown)
		})
	}
}

// Guards against a head of any size that is quoted in the reason of an answer, and with it
// in a header of the response.
func TestMalformedAnswerOfTargetIsNotQuotedWhole(t *testing.T) {
	const maxReasonBytes = 1 << 10
	long := strings.Repeat("y", 100<<10)
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX " + long + ": 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01" + long + ": 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + long[:3000] + "\r\n",
	} {
		Convey(strconv.Quote(answer[:30]), t, func() {
			target := answertest.Serve(t, func(c *net.TCPConn) { io.WriteString(c, answer) })
			base := startNode(t, fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect)), "back-1", "http://"+target)
			resp, err := http.Post(base+"/v1/call/back/op", "", nil)
			So(err, ShouldBeNil)
			resp.Body.Close()
			So(resp.Header.Get(call.HeaderStatus), ShouldEqual, string(call.Unknown))
			So(len(resp.Header.Get(call.HeaderReason)), ShouldBeLessThan, maxReasonBytes)
		})
	}
}
