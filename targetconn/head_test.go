package targetconn

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a head with an invalid status that is passed on as an answer, or skipped
// as an interim one.
func TestInvalidStatusIsErrNoAnswer(t *testing.T) {
	const fields = "\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole"
	for _, line := range []string{"HTTP/1.1 000", "HTTP/1.1 000 Trouble", "HTTP/1.1 099 Low", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
		"HTTP/1.1 2x0 OK", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 High", "HTTP/1.1 999 High", "HTTP/0.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 \x00\x00\x00 OK"} {
		for _, after := range []struct{ name, answer string }{
			{"by itself", ""},
			{"before an answer", response("r1", "whole")},
		} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				Convey(strconv.Quote(line)+" "+after.name+", "+method, t, func() {
					for _, head := range []string{line + fields, line + "\r\nRequest-Id: r1\r\n\r\n", line + "\r\n\r\n"} {
						r := request("r1")
						r.Method = method
						_, err := sendsOnce(head+after.answer).Do(t.Context(), r)
						So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
					}
				})
			}
		}
	}
}

// Guards against an answer that is refused for a rare status.
func TestRareStatusIsAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 299 Odd", "HTTP/1.1 599 Odd", "HTTP/1.1 418 \xe9"} {
		Convey(strconv.Quote(line), t, func() {
			a, err := sendsOnce(strings.Replace(response("r1", "whole"), "HTTP/1.1 200 OK", line, 1)).Do(t.Context(), request("r1"))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, "whole")
		})
	}
}

// Guards against an invalid field name, by which the library does not recognize the field:
// callers would get an answer without it, or with a body that is not the target's. Values
// with control bytes are refused by the library.
func TestInvalidFieldNameIsErrNoAnswer(t *testing.T) {
	names := []string{"Content Length", "Content-Length ", "Content-Length\t", "Content\x00Length", "Content\x7fLength", "Content\x1bLength", "Content\xe9Length", "Content\rLength", "(Length)",
		"X Trouble", "X\x01Trouble", "Request-Id ", "Transfer Encoding", "\x0bX", ""}
	for _, name := range names {
		Convey(strconv.Quote(name), t, func() {
			for _, answer := range []string{
				"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n" + name + ": 5\r\n\r\nwhole",
				"HTTP/1.1 200 OK\r\n" + name + ": 5\r\nRequest-Id: r1\r\nSignature: s\r\nContent-Length: 5\r\n\r\nwhole",
				"HTTP/1.1 103 Early Hints\r\n" + name + ": 5\r\n\r\n" + response("r1", "whole"),
				"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n" + name + ": 5\r\nContent-Length: 3\r\n\r\nold" + response("r1", "whole"),
			} {
				_, err := sendsOnce(answer).Do(t.Context(), request("r1"))
				So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
			}
		})
	}
	for _, value := range []string{"a\x00b", "a\x1bb", "a\x7fb", "a\rb"} {
		Convey("The value "+strconv.Quote(value), t, func() {
			_, err := sendsOnce("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nX: "+value+"\r\nContent-Length: 5\r\n\r\nwhole").Do(t.Context(), request("r1"))
			So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		})
	}
	Convey("Chunks without their framing", t, func() {
		_, err := sendsOnce("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n").Do(t.Context(), request("r1"))
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
	})
}

// Guards against an answer that is refused for an unusual field.
func TestUnusualFieldIsAnswer(t *testing.T) {
	for _, field := range []string{"x-lower: y", "X_Y: z", "X!#$%&'*+-.^`|~9: y", "X:y", "X:", "X: \t y \t", "X: a\r\n b", "X: a b", "X: \xe9", "X: y\r\nX: z"} {
		Convey(strconv.Quote(field), t, func() {
			a, err := sendsOnce("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"+field+"\r\nContent-Length: 5\r\n\r\nwhole").Do(t.Context(), request("r1"))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, "whole")
		})
	}
}

// Guards against the framing of chunks as the body: HTTP/1.0 knows no chunks, and the
// library ignores a statement of them in its heads.
func TestChunksInHTTP10AreErrNoAnswer(t *testing.T) {
	const answer = "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
	for _, sent := range []string{
		answer,
		strings.Replace(answer, "Transfer-E", "transfer-e", 1),
		strings.Replace(answer, "Signature: s", "Content-Length: 5", 1),
		strings.ReplaceAll(answer, "\r\n", "\n"),
		"HTTP/1.0 100 Continue\r\n\r\n" + answer,
		strings.Replace(response("r0", "late"), "HTTP/1.1", "HTTP/1.0", 1) + answer,
	} {
		Convey(strconv.Quote(sent), t, func() {
			_, err := sendsOnce(sent).Do(t.Context(), request("r1"))
			So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		})
	}
}

// Guards against an answer of HTTP/1.0 that is refused for something else.
func TestHTTP10IsAnswer(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nX: Transfer-Encoding: chunked\r\n"
	large := strings.Repeat("X: "+strings.Repeat("y", 1000)+"\r\n", 100)
	for _, sent := range []string{
		head + "\r\nwhole",
		head + "Content-Length: 5\r\n\r\nwhole",
		head + "Connection: keep-alive\r\nContent-Length: 5\r\n\r\nwhole",
		head + large + "Content-Length: 5\r\n\r\nwhole",
		strings.Replace(response("r0", "late"), "HTTP/1.1", "HTTP/1.0", 1) + head + "Content-Length: 5\r\n\r\nwhole",
		strings.Replace(response("r0", "late"), "Signature", "Connection: keep-alive\r\nSignature", 1) + head + "\r\nwhole",
	} {
		Convey(strconv.Quote(sent[:60]), t, func() {
			a, err := sendsOnce(sent).Do(t.Context(), request("r1"))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, "whole")
		})
	}
}
