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

var names = call.Headers{RequestID: "Request-Id", Signature: "Signature"}

// startTarget serves each connection with serve, which gets the connection's
// number from 1.
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
	p := NewPool(Config{Addr: l.Addr().String(), Headers: names})
	t.Cleanup(p.Close)
	return p, &conns
}

// read reads one request; false at the connection's end.
func read(r *bufio.Reader) (*http.Request, []byte, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(req.Body)
	return req, body, err == nil
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSignature: s\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// echo answers every request with its id as the body.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		req, _, ok := read(r)
		if !ok {
			return
		}
		io.WriteString(c, answer(req.Header.Get("Request-Id"), req.Header.Get("Request-Id")))
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

func TestConnectionsAreUsedAgain(t *testing.T) {
	Convey("Requests one after the other share a connection", t, func() {
		p, conns := startTarget(t, echo)
		for i := range 5 {
			a, err := do(p, strconv.Itoa(i))
			So(err, ShouldBeNil)
			So(string(a.Body), ShouldEqual, strconv.Itoa(i))
		}
		So(conns.Load(), ShouldEqual, 1)
	})
}

// A faulty target answers request a twice; the second answer arrives where
// b's is due. Whoever asked for b must get b's answer or none.
func TestAnAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	Convey("Whether the stray answer comes before, with or after the next request", t, func() {
		for _, early := range []bool{true, false} {
			name := "early " + strconv.FormatBool(early)
			p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
				read(r)
				io.WriteString(c, answer("a", "a"))
				if n > 1 {
					return
				}
				if early {
					io.WriteString(c, answer("a", "stray"))
				}
				if _, _, ok := read(r); !ok {
					return
				}
				if !early {
					io.WriteString(c, answer("a", "stray"))
				}
				io.WriteString(c, answer("b", "b"))
			})
			Convey(name, func() {
				_, err := do(p, "a")
				So(err, ShouldBeNil)
				time.Sleep(20 * time.Millisecond)
				a, err := do(p, "b")
				if early {
					// The bytes were seen before b was sent: a new
					// connection, whose target answers for a, and ends.
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

// A target breaks off in the middle of a body, sends bytes that are no
// answer, or resets the connection. None may pass for a whole answer, and
// none for a request that was never sent: it may have run.
func TestABrokenAnswerIsNone(t *testing.T) {
	Convey("Each is ErrNoAnswer", t, func() {
		whole := answer("a", "0123456789")
		for _, c := range []struct{ name, bytes string }{
			{"cut body", whole[:len(whole)-3]},
			{"cut header", "HTTP/1.1 200 OK\r\nRequest-"},
			{"nonsense", "\x00\x01\x02 what is this\r\n\r\n"},
			{"nothing", ""},
			{"cut chunk", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
			{"odd length", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Length: x\r\n\r\nab"},
			{"wrong answer", answer("z", "z")},
		} {
			bytes := c.bytes
			Convey(c.name, func() {
				p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
					read(r)
					io.WriteString(c, bytes)
				})
				_, err := do(p, "a")
				So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
			})
		}
	})
}

// An answer without a length ends with its connection. One that is reset on
// the way is not whole.
func TestAnAnswerThatEndsWithItsConnection(t *testing.T) {
	Convey("It is whole when the connection is closed, not when it is reset", t, func() {
		for _, reset := range []bool{false, true} {
			name := "reset " + strconv.FormatBool(reset)
			Convey(name, func() {
				p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
					read(r)
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

// The target closes an idle connection just before a request goes out on
// it. Written there, the request would be lost, and nobody could say whether
// it ran; and net/http's transport would send a read again by itself.
func TestAConnectionTheTargetClosedIsNotUsed(t *testing.T) {
	Convey("The next request goes out on a new one, once", t, func() {
		var got atomic.Int32
		p, conns := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			req, _, ok := read(r)
			if ok {
				got.Add(1)
				io.WriteString(c, answer(req.Header.Get("Request-Id"), "x"))
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

// A target that resets a kept connection as the request arrives has perhaps
// run it. The request is not sent again here, not even a read.
func TestNothingIsSentTwice(t *testing.T) {
	Convey("A request whose connection breaks is sent once", t, func() {
		var got atomic.Int32
		p, _ := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n == 1 {
				read(r)
				io.WriteString(c, answer("a", "a"))
			}
			if _, _, ok := read(r); ok {
				got.Add(1)
			}
		})
		do(p, "a")
		_, err := do(p, "b")
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(got.Load(), ShouldEqual, 1)
	})
}

func TestAnUnreachableTargetRanNothing(t *testing.T) {
	Convey("A refused connection is ErrNotSent", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		addr := l.Addr().String()
		l.Close()
		_, err = do(NewPool(Config{Addr: addr, Headers: names}), "a")
		So(errors.Is(err, ErrNotSent), ShouldBeTrue)
	})
}

// A target rejects a long body before it has read it, and reads on later.
// The next request on that connection would be taken for the body's rest.
func TestAnEarlyAnswerEndsTheConnection(t *testing.T) {
	Convey("The answer counts, the connection is not used again", t, func() {
		p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n > 1 {
				echo(n, c, r)
				return
			}
			http.ReadRequest(r)
			io.WriteString(c, answer("big", "early"))
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

// A caller leaves while the target works. The target drops the work when
// the connection closes, so it must be closed at once.
func TestGivingUpClosesTheConnection(t *testing.T) {
	Convey("The target sees the end of its connection", t, func() {
		closed := make(chan time.Time, 1)
		p, _ := startTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			read(r)
			r.ReadByte()
			closed <- time.Now()
		})
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err := p.Do(ctx, request("a"))
		left := time.Now()
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(err.Error(), ShouldContainSubstring, "canceled")
		So((<-closed).Sub(left), ShouldBeLessThan, time.Second)
	})
}

func TestRequestsGoOutAsTheyCame(t *testing.T) {
	Convey("Method, path, query, headers and body are the caller's", t, func() {
		got := make(chan *http.Request, 1)
		bodies := make(chan string, 1)
		p, _ := startTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			req, body, _ := read(r)
			got <- req
			bodies <- string(body)
			io.WriteString(c, answer("a", ""))
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

func TestKeepAliveIsRead(t *testing.T) {
	Convey("A stated timeout counts, less a margin", t, func() {
		So(keepAlive(http.Header{"Keep-Alive": {"max=3, timeout=10"}}), ShouldEqual, 10*time.Second-idleMargin)
		So(keepAlive(http.Header{"Keep-Alive": {"timeout=0"}}), ShouldEqual, 0)
		So(keepAlive(http.Header{}), ShouldEqual, idleDefault)
	})
}

// BenchmarkDo measures one request and its answer on a kept connection.
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
	p := NewPool(Config{Addr: l.Addr().String(), Headers: names})
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := p.Do(context.Background(), request("a")); err != nil {
			b.Fatal(err)
		}
	}
}

// A target breaks a connection off and lives; another is gone, and so are all
// of its connections. Only the second has ended.
func TestAnEndedTargetIsToldFromABrokenConnection(t *testing.T) {
	Convey("A target that answers a new connection has not ended, and keeps it", t, func() {
		p, conns := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if n > 1 {
				echo(n, c, r)
			}
		})
		_, err := do(p, "a")
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
		So(p.Ended(context.Background()), ShouldBeFalse)
		_, err = do(p, "b")
		So(err, ShouldBeNil)
		So(conns.Load(), ShouldEqual, 2)
	})
	Convey("One that takes a connection while it ends, and breaks it, has", t, func() {
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
		So(NewPool(Config{Addr: l.Addr().String(), Headers: names}).Ended(context.Background()), ShouldBeTrue)
	})
	Convey("One at whose address nothing listens has", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		p := NewPool(Config{Addr: l.Addr().String(), Headers: names})
		So(l.Close(), ShouldBeNil)
		So(p.Ended(context.Background()), ShouldBeTrue)
	})
}

// An answer to HEAD tells the length of a body that does not follow; one that
// promises much may break off, and is none.
func TestALengthIsNoBody(t *testing.T) {
	Convey("A promised body is neither waited for nor made up", t, func() {
		p, _ := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			req, _, ok := read(r)
			if !ok {
				return
			}
			head := "HTTP/1.1 200 OK\r\nRequest-Id: " + req.Header.Get("Request-Id") + "\r\nSignature: s\r\nContent-Length: "
			switch req.Method {
			case http.MethodHead:
				io.WriteString(c, head+"1500\r\n\r\n")
			case http.MethodPut:
				io.WriteString(c, head+strconv.Itoa(3*onePiece)+"\r\n\r\n"+strings.Repeat("a", 3*onePiece))
			default:
				io.WriteString(c, head+strconv.Itoa(3*onePiece)+"\r\n\r\n"+strings.Repeat("a", onePiece))
			}
		})
		ask := func(method string) (*Answer, error) {
			return p.Do(context.Background(), &Request{ID: "1", Method: method, Host: "h", URI: "/", Header: http.Header{"Request-Id": {"1"}}})
		}
		a, err := ask(http.MethodHead)
		So(err, ShouldBeNil)
		So(a.Body, ShouldBeEmpty)
		a, err = ask(http.MethodPut)
		So(err, ShouldBeNil)
		So(len(a.Body), ShouldEqual, 3*onePiece)
		_, err = ask(http.MethodGet)
		So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
	})
}
