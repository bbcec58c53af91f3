package targetconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// sendsOnce returns a Pool whose target reads requests, answers each with the given
// bytes, and closes.
func sendsOnce(answer string) *Pool {
	return NewPool(Config{Headers: headers, Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		go func() {
			io.WriteString(far, answer)
			far.Close()
		}()
		return near, nil
	}})
}

// Guards against an answer that is cut anywhere, within its head above all, and looks
// complete: callers would get an empty or short body as the whole one.
func TestAnswerThatIsCutAnywhereIsErrNoAnswer(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
	for _, c := range []struct{ name, answer string }{
		{"with a length", head + "Content-Length: 12\r\n\r\ntwelve bytes"},
		{"with a length and a field after it", head + "Content-Length: 12\r\nKeep-Alive: timeout=5\r\n\r\ntwelve bytes"},
		{"with an empty body", head + "Content-Length: 0\r\n\r\n"},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6;x=y\r\n bytes\r\n0\r\n\r\n"},
		{"in chunks with a trailer", head + "Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\nc\r\ntwelve bytes\r\n0\r\nX: y\r\n\r\n"},
		{"after interim answers", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 12\r\n\r\ntwelve bytes"},
		{"after an answer to another request", response("r0", "late") + head + "Content-Length: 12\r\n\r\ntwelve bytes"},
		{"with bare line feeds", strings.ReplaceAll(head+"Content-Length: 12\r\n\r\n", "\r\n", "\n") + "twelve bytes"},
		{"with a folded field", head + "X: a\r\n b\r\nContent-Length: 12\r\n\r\ntwelve bytes"},
		{"that is refused", strings.Replace(head, "200 OK", "503 Service Unavailable", 1) + "Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull"},
	} {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			Convey(c.name+", "+method, t, func() {
				r := request("r1")
				r.Method = method
				for i := range len(c.answer) {
					a, err := sendsOnce(c.answer[:i]).Do(t.Context(), r)
					if a != nil || !errors.Is(err, ErrNoAnswer) {
						t.Fatalf("cut after %q: answer %+v, error %v", c.answer[:i], a, err)
					}
				}
				_, err := sendsOnce(c.answer).Do(t.Context(), r)
				So(err, ShouldBeNil)
			})
		}
	}
}

// Guards against an answer of another request as the body of this one: a target stops
// within the head of its answer and goes on with another answer, so that both heads
// read as one.
func TestHeadOfTwoAnswersIsErrNoAnswer(t *testing.T) {
	other := response("r0", "not for r1")
	for _, begun := range []string{
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nX: ",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Type: ",
		"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nX: a\r\n ",
	} {
		Convey(begun, t, func() {
			_, err := sendsOnce(begun+other).Do(t.Context(), request("r1"))
			So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		})
	}
}
