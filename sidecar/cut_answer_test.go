package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// cutAnswers are answers that break off.
var cutAnswers = []string{
	"", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nSignature: s\r\n", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n\r", "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n\r\n",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 12\r\n\r\ntwelve",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n0\r\n",
	"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Le",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Le",
}

// Guards against a caller that gets an answer cut within its head as a success, or as a
// promise that the request has not run, and against a second run of one that must not
// be repeated.
func TestCutAnswerIsNeitherSuccessNorRefusal(t *testing.T) {
	for _, answer := range cutAnswers {
		checkBadGateway(t, answer)
	}
}

// malformedAnswers are answers whose head is invalid.
var malformedAnswers = []string{
	"HTTP/1.1 000 Trouble\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 999 Trouble\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno",
	"HTTP/1.1 000 Trouble\r\nNot-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX Trouble: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nX\x01Trouble: 1\r\nContent-Length: 5\r\n\r\nwhole",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length : 5\r\n\r\nwholeand more",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nContent Length: 5\r\n\r\nwholeand more",
	"HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nRequest-Id : other\r\nSignature: s\r\nContent-Length: 5\r\n\r\nother",
	"HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nX Trouble: 1\r\nContent-Length: 4\r\n\r\nfull",
}

// Guards against the same with an answer whose head is invalid.
func TestMalformedAnswerIsNeitherSuccessNorRefusal(t *testing.T) {
	for _, answer := range malformedAnswers {
		checkBadGateway(t, answer)
	}
}

// Guards against a head of any size that callers get quoted in the reason of a failure.
func TestMalformedAnswerIsNotQuotedWhole(t *testing.T) {
	const maxReasonBytes = 1 << 10
	long := strings.Repeat("y", 100<<10)
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nX " + long + ": 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01" + long + ": 1\r\n\r\n",
		"HTTP/1.1 600 " + long + "\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: " + long + "\r\n\r\n",
	} {
		Convey(strconv.Quote(answer[:30]), t, func() {
			m := &mesh{t: t, port: freePort(t)}
			m.serve = func(l net.Listener, _ string) {
				serveEach(l, func(c net.Conn) { io.WriteString(c, answer) })
			}
			m.populate([]string{"archiv"})
			_, got := m.get(m.vms[0], "/read/x")
			So(got.code, ShouldEqual, http.StatusBadGateway)
			So(len(got.body), ShouldBeLessThan, maxReasonBytes)
		})
	}
}

// checkBadGateway checks that callers of instances which all give an answer get 502, for
// an action that runs once and a read that is repeated once.
func checkBadGateway(t *testing.T, answer string) {
	Convey(strings.NewReplacer("\r", `\r`, "\n", `\n`).Replace(answer), t, func() {
		var read atomic.Int64
		m := &mesh{t: t, port: freePort(t)}
		m.serve = func(l net.Listener, _ string) {
			serveEach(l, func(c net.Conn) {
				read.Add(1)
				io.WriteString(c, answer)
			})
		}
		m.populate([]string{"archiv", "archiv"})
		_, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.err, ShouldBeNil)
		So(got.code, ShouldEqual, http.StatusBadGateway)
		So(read.Load(), ShouldEqual, 1)
		_, got = m.get(m.vms[0], "/read/x")
		So(got.err, ShouldBeNil)
		So(got.code, ShouldEqual, http.StatusBadGateway)
		So(read.Load(), ShouldEqual, 3) // repeated once, at the other instance
	})
}
