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

// Guards against an answer of the local target that is cut anywhere and passed on as a
// success, or as a promise that the call has not run.
func TestCutAnswerOfTargetIsUnknown(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\n" + call.HeaderStatus + ": not_run\r\nContent-Length: 4\r\n\r\nfull",
	} {
		Convey(answer[:12], t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			var cut atomic.Int64
			go func() {
				for {
					nc, err := l.Accept()
					if err != nil {
						return
					}
					http.ReadRequest(bufio.NewReader(nc))
					io.WriteString(nc, answer[:cut.Load()])
					nc.Close()
				}
			}()
			base := startNode(t, fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect)), "back-1", "http://"+l.Addr().String())
			for i := range len(answer) {
				cut.Store(int64(i))
				if st := callOp(t, base, "back", "op"); st != call.Unknown {
					t.Fatalf("cut after %q: %s", answer[:i], st)
				}
			}
		})
	}
}
