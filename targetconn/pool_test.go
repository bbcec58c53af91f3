package targetconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

var headers = call.Headers{RequestID: "Request-Id", Signature: "Signature"}

// startTarget listens and calls serve for each connection; n counts them from 1.
func startTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) (*Pool, *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var conns atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(conns.Add(1))
			go func() {
				defer c.Close()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	p := NewPool(Config{Addr: l.Addr().String(), Headers: headers})
	t.Cleanup(p.Close)
	return p, &conns
}

// readRequest reads one request; it returns false if the connection has ended.
func readRequest(r *bufio.Reader) (*http.Request, []byte, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err == nil
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// echo answers every request with the request ID as the body.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		req, _, ok := readRequest(r)
		if !ok {
			return
		}
		io.WriteString(c, response(req.Header.Get("Request-Id"), req.Header.Get("Request-Id")))
	}
}

func request(id string) *Request {
	return &Request{ID: call.RequestID(id), Method: http.MethodGet, Host: "h", URI: "/a?b=%2f", Header: http.Header{"Request-Id": {id}}}
}

func do(p *Pool, id string) (*Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return p.Do(ctx, request(id))
}

func TestConnectionIsReused(t *testing.T) {
	Convey("Sequential requests share a connection", t, func() {
		p, conns := startTarget(t, echo)
		for i := range 5 {
			a, err := do(p, strconv.Itoa(i))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, strconv.Itoa(i))
		}
		So(conns.Load(), ShouldEqual, 1)
	})
}

// A faulty target answers request a twice, and the second answer arrives when
// that to request b is expected. Request b must get its own answer or none.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	Convey("The duplicate answer arrives before or after the next request", t, func() {
		for _, early := range []bool{true, false} {
			name := "early " + strconv.FormatBool(early)
			p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
				readRequest(r)
				io.WriteString(c, response("a", "a"))
				if n > 1 {
					return
				}
				if early {
					io.WriteString(c, response("a", "stray"))
				}
				if _, _, ok := readRequest(r); !ok {
					return
				}
				if !early {
					io.WriteString(c, response("a", "stray"))
				}
				io.WriteString(c, response("b", "b"))
			})
			Convey(name, func() {
				_, err := do(p, "a")
				So(err, ShouldBeNil)
				time.Sleep(20 * time.Millisecond)
				a, err := do(p, "b")
				if early {
					// The bytes arrived before b was sent, so b uses a new
					// connection, whose only answer is for a.
					So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
					So(conns.Load(), ShouldEqual, 2)
				} else {
					So(err, ShouldBeNil)
					So(string(a.Body), ShouldEqual, "b")
				}
			})
		}
	})
}

// A truncated or malformed answer must be reported neither as complete nor as
// ErrNotSent, because the request may have run.
func TestMalformedAnswerIsErrNoAnswer(t *testing.T) {
	Convey("Each case returns ErrNoAnswer", t, func() {
		full := response("a", "0123456789")
		for _, c := range []struct{ name, bytes string }{
			{"truncated body", full[:len(full)-3]},
			{"truncated header", "HTTP/1.1 200 OK\r\nRequest-"},
			{"garbage", "\x00\x01\x02 what is this\r\n\r\n"},
			{"empty", ""},
			{"truncated chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
			{"invalid length", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: x\r\n\r\nab"},
			{"answer to another request", response("z", "z")},
		} {
			bytes := c.bytes
			Convey(c.name, func() {
				p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
					readRequest(r)
					io.WriteString(c, bytes)
				})
				_, err := do(p, "a")
				So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
			})
		}
	})
}

// An answer without a length ends when the connection is closed; if the
// connection is reset, the answer is incomplete.
func TestAnswerDelimitedByConnectionClose(t *testing.T) {
	Convey("It is complete if the connection is closed and incomplete if it is reset", t, func() {
		for _, reset := range []bool{false, true} {
			name := "reset " + strconv.FormatBool(reset)
			Convey(name, func() {
				p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
					readRequest(r)
					io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\nhalf")
					if reset {
						time.Sleep(20 * time.Millisecond)
						c.(*net.TCPConn).SetLinger(0)
					}
				})
				a, err := do(p, "a")
				if reset {
					So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
				} else {
					So(err, ShouldBeNil)
					So(string(a.Body), ShouldEqual, "half")
				}
			})
		}
	})
}

// A request must not be sent on an idle connection that the target has closed:
// whether it ran would be unknown. net/http's transport would retry idempotent
// requests by itself.
func TestConnectionClosedByTargetIsNotReused(t *testing.T) {
	Convey("The next request is sent once, on a new connection", t, func() {
		var got atomic.Int32
		p, conns := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			req, _, ok := readRequest(r)
			if ok {
				got.Add(1)
				io.WriteString(c, response(req.Header.Get("Request-Id"), "x"))
			}
		})
		for _, id := range []string{"a", "b", "c"} {
			_, err := do(p, id)
			So(err, ShouldBeNil)
			time.Sleep(20 * time.Millisecond)
		}
		So(conns.Load(), ShouldEqual, 3)
		So(got.Load(), ShouldEqual, 3)
	})
}

// A request whose reused connection breaks may have run. The pool must not send
// it again, even if it is a GET.
func TestRequestIsNotResent(t *testing.T) {
	Convey("A request whose connection breaks is sent only once", t, func() {
		var got atomic.Int32
		p, _ := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n == 1 {
				readRequest(r)
				io.WriteString(c, response("a", "a"))
			}
			if _, _, ok := readRequest(r); ok {
				got.Add(1)
			}
		})
		do(p, "a")
		_, err := do(p, "b")
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(got.Load(), ShouldEqual, 1)
	})
}

func TestUnreachableTargetIsErrNotSent(t *testing.T) {
	Convey("A refused connection returns ErrNotSent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		l.Close()
		_, err = do(NewPool(Config{Addr: addr, Headers: headers}), "a")
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
}

// A target answers before it has read a long body and continues reading later.
// It would take the next request on that connection for the rest of the body.
func TestEarlyAnswerClosesConnection(t *testing.T) {
	Convey("The answer is returned and the connection is not reused", t, func() {
		p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n > 1 {
				echo(n, c, r)
				return
			}
			http.ReadRequest(r)
			io.WriteString(c, response("big", "early"))
			time.Sleep(200 * time.Millisecond)
		})
		r := request("big")
		r.Method, r.Body = http.MethodPost, bytes.Repeat([]byte("x"), 8<<20)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		a, err := p.Do(ctx, r)
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "early")
		a, err = do(p, "b")
		So(err, ShouldBeNil)
		So(string(a.Body), ShouldEqual, "b")
		So(conns.Load(), ShouldEqual, 2)
	})
}

// Cancelling a request must close its connection at once, because that is what
// makes a target stop working on it.
func TestCancelClosesConnection(t *testing.T) {
	Convey("The target sees the connection close", t, func() {
		closed := make(chan time.Time, 1)
		p, _ := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			readRequest(r)
			r.ReadByte()
			closed <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.Do(ctx, request("a"))
		returned := time.Now()
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "canceled")
		So((<-closed).Sub(returned), ShouldBeLessThan, time.Second)
	})
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	Convey("Method, path, query, headers and body are unchanged", t, func() {
		got := make(chan *http.Request, 1)
		bodies := make(chan string, 1)
		p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			req, body, _ := readRequest(r)
			got <- req
			bodies <- string(body)
			io.WriteString(c, response("a", ""))
		})
		r := request("a")
		r.Method, r.Body = http.MethodPut, []byte("note")
		r.Header["X-Many"] = []string{"1", "2"}
		_, err := p.Do(context.Background(), r)
		So(err, ShouldBeNil)
		req := <-got
		So(req.RequestURI, ShouldEqual, "/a?b=%2f")
		So(req.Host, ShouldEqual, "h")
		So(req.Method, ShouldEqual, http.MethodPut)
		So(strings.Join(req.Header["X-Many"], ","), ShouldEqual, "1,2")
		So(req.Header.Get("User-Agent"), ShouldEqual, "")
		So(<-bodies, ShouldEqual, "note")
	})
}

// Guards against a request being sent on an idle connection that the target is
// about to close.
func TestIdleTimeoutStaysBelowKeepAliveTimeout(t *testing.T) {
	Convey("The timeout in the Keep-Alive header is used, less idleMargin", t, func() {
		So(idleTimeout(http.Header{"Keep-Alive": {"max=3, timeout=10"}}), ShouldEqual, 10*time.Second-idleMargin)
		So(idleTimeout(http.Header{"Keep-Alive": {"timeout=0"}}), ShouldEqual, 0)
		So(idleTimeout(http.Header{}), ShouldEqual, defaultIdleTimeout)
	})
}

// Guards against requests and statements that are taken for ones of the run of a
// target before the present one, or go there, because a connection is kept.
func TestConnectionsAreOfOneRun(t *testing.T) {
	Convey("Where another run begins", t, func() {
		p, conns := startTarget(t, echo)
		var opened time.Time
		send := func() {
			r := request("a")
			r.GotConn = func(at time.Time) { opened = at }
			_, err := p.Do(context.Background(), r)
			So(err, ShouldBeNil)
		}
		began := time.Now()
		send()
		So(opened, ShouldHappenOnOrBetween, began, time.Now())
		first := opened
		Convey("a connection that was opened since is kept", func() {
			p.Begin(first)
			send()
			So(opened, ShouldEqual, first)
			So(conns.Load(), ShouldEqual, 1)
		})
		Convey("an earlier one is not used again, and the next counts as opened since", func() {
			started := time.Now().Add(time.Minute) // the clock is set back after the start
			p.Begin(started)
			send()
			So(opened, ShouldEqual, started)
			So(conns.Load(), ShouldEqual, 2)
			send()
			So(conns.Load(), ShouldEqual, 2)
		})
	})
}

// BenchmarkDo measures one request on a reused connection.
func BenchmarkDo(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go echo(1, c, bufio.NewReader(c))
		}
	}()
	p := NewPool(Config{Addr: l.Addr().String(), Headers: headers})
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Do(context.Background(), request("a")); err != nil {
			b.Fatal(err)
		}
	}
}

// A target that closes one connection and keeps running must not be reported as
// exited; one whose process has exited must be.
func TestTargetExitedDistinguishesExitFromReset(t *testing.T) {
	Convey("A target that accepts a new connection has not exited, and the connection is reused", t, func() {
		p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n > 1 {
				echo(n, c, r)
			}
		})
		_, err := do(p, "a")
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(p.TargetExited(context.Background()), ShouldBeFalse)
		_, err = do(p, "b")
		So(err, ShouldBeNil)
		So(conns.Load(), ShouldEqual, 2)
	})
	Convey("A target that closes a connection it accepted while exiting is reported as exited", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			l.Close()
			c.Close()
		}()
		So(NewPool(Config{Addr: l.Addr().String(), Headers: headers}).TargetExited(context.Background()), ShouldBeTrue)
	})
	Convey("A target at whose address nothing listens has exited", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		p := NewPool(Config{Addr: l.Addr().String(), Headers: headers})
		So(l.Close(), ShouldBeNil)
		So(p.TargetExited(context.Background()), ShouldBeTrue)
	})
}

// An answer to HEAD has a Content-Length without a body. An answer with fewer
// bytes than its Content-Length is incomplete.
func TestContentLengthWithoutBody(t *testing.T) {
	const part = 64 << 10
	Convey("A missing body is not waited for, and an incomplete one is an error", t, func() {
		p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req, _, ok := readRequest(r)
				if !ok {
					return
				}
				header := "HTTP/1.1 200 OK\r\nRequest-Id: " + req.Header.Get("Request-Id") + "\r\nSignature: s\r\nContent-Length: "
				switch req.Method {
				case http.MethodHead:
					io.WriteString(c, header+"1500\r\n\r\n")
				case http.MethodPut:
					io.WriteString(c, header+strconv.Itoa(3*part)+"\r\n\r\n"+strings.Repeat("a", 3*part))
				default:
					io.WriteString(c, header+strconv.Itoa(3*part)+"\r\n\r\n"+strings.Repeat("a", part))
					return
				}
			}
		})
		send := func(method string) (*Answer, error) {
			return p.Do(context.Background(), &Request{ID: "1", Method: method, Host: "h", URI: "/", Header: http.Header{"Request-Id": {"1"}}})
		}
		a, err := send(http.MethodHead)
		So(err, ShouldBeNil)
		So(a.Body, ShouldBeEmpty)
		a, err = send(http.MethodPut)
		So(err, ShouldBeNil)
		So(len(a.Body), ShouldEqual, 3*part)
		_, err = send(http.MethodGet)
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
	})
}
