package inbound

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const enoughConns = 16

// serveTest serves cfg on loopback until the test ends; cfg's handler answers 200 if nil.
func serveTest(t *testing.T, cfg Config) (s *Server, addr string) {
	if cfg.Handler == nil {
		cfg.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = enoughConns
	}
	s = NewServer(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return s, l.Addr().String()
}

// dialTest opens a connection that is closed when the test ends.
func dialTest(t *testing.T, addr string) net.Conn {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

// answerTo sends text and returns the status of the answer, 0 without one.
func answerTo(c net.Conn, text string) (status int, header http.Header) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, nil
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// headOf returns a request of a number of bytes in header lines of a length.
func headOf(size, line int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for i := 0; b.Len() < size-2-line; i++ {
		name := fmt.Sprintf("x%d:", i)
		b.WriteString(name + strings.Repeat("v", max(line-len(name)-2, 0)) + "\r\n")
	}
	return b.String() + "\r\n"
}

// Guards against a request that runs, and whose answer is lost, because its idle
// connection was closed for another while the request was being read.
func TestRequestOnConnectionClosedForAnotherDoesNotRun(t *testing.T) {
	Convey("The handler ends without running it", t, func() {
		var runs atomic.Int64
		s := NewServer(Config{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }), MaxConns: 1})
		nc, other := net.Pipe()
		defer other.Close()
		c := &conn{Conn: nc, server: s, reading: true}
		s.track(c, http.StateNew)
		s.track(c, http.StateIdle)
		So(s.conns.makeRoom(true), ShouldBeTrue)
		s.track(c, http.StateActive) // its request had arrived
		r := httptest.NewRequest(http.MethodPost, "http://h/publish/x", nil)
		So(func() {
			s.serveHTTP(httptest.NewRecorder(), r.WithContext(withConn(context.Background(), c)))
		}, ShouldPanicWith, http.ErrAbortHandler)
		So(runs.Load(), ShouldEqual, 0)
	})
}

// Guards against a limit on heads that is not the one in force, and against one that
// refuses what lies within it.
func TestHeadLimitInForceIsKept(t *testing.T) {
	Convey("Heads within the limit are served, over it refused with 431, also once it is lowered", t, func() {
		var limit atomic.Int64
		limit.Store(16 << 10)
		_, addr := serveTest(t, Config{Limits: func() Limits { return Limits{HeadBytes: int(limit.Load())} }})
		c := dialTest(t, addr)
		for _, line := range []int{6, 100, 8000} {
			code, _ := answerTo(c, headOf(16<<10, line))
			So(code, ShouldEqual, http.StatusOK)
		}
		code, _ := answerTo(dialTest(t, addr), headOf(40<<10, 100))
		So(code, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		limit.Store(1 << 10)
		code, _ = answerTo(c, headOf(16<<10, 100))
		So(code, ShouldEqual, http.StatusRequestHeaderFieldsTooLarge)
		code, _ = answerTo(dialTest(t, addr), headOf(1<<10, 100))
		So(code, ShouldEqual, http.StatusOK)
	})
}

// Guards against heads that a client sends with the body before them, which net/http
// has read already when it asks for the next head.
func TestPipelinedHeadsAreServedAndCounted(t *testing.T) {
	Convey("Requests sent at once are answered one after the other, and nothing stays counted", t, func() {
		heads := &Heads{}
		_, addr := serveTest(t, Config{Heads: heads, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			w.Write(b)
		})})
		c := dialTest(t, addr)
		post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n\r\n\r\nxy"
		for _, cut := range []int{len(post), len(post) - 1, len(post) - 6, len(post) - 7, 20, 3} {
			_, err := io.WriteString(c, post+post+post[:cut])
			So(err, ShouldBeNil)
			time.Sleep(50 * time.Millisecond)
			_, err = io.WriteString(c, post[cut:]+post)
			So(err, ShouldBeNil)
			in := bufio.NewReader(c)
			for range 4 {
				resp, err := http.ReadResponse(in, nil)
				So(err, ShouldBeNil)
				b, err := io.ReadAll(resp.Body)
				So(err, ShouldBeNil)
				So(string(b), ShouldEqual, "\r\n\r\nxy")
			}
		}
		c.Close()
		waitUsed(heads, none)
		So(heads.Used(), ShouldEqual, 0)
	})
}

// Guards against a crowd of unfinished heads that keeps an ordinary request out, and
// against one that is refused without being told when to come back.
func TestUnfinishedHeadIsEvictedForSmaller(t *testing.T) {
	Convey("An ordinary head gets in, a larger one is told to come back", t, func() {
		heads := &Heads{}
		heads.SetLimit(headMemory)
		_, addr := serveTest(t, Config{Heads: heads})
		for i := range 4 {
			io.WriteString(dialTest(t, addr), strings.TrimSuffix(headOf(4<<10, 20), "\r\n"))
			waitUsed(heads, func(used int64) bool { return used >= int64(i+1)*headMemory/8 })
		}
		code, _ := answerTo(dialTest(t, addr), headOf(300, 30))
		So(code, ShouldEqual, http.StatusOK)
		So(heads.Used(), ShouldBeLessThanOrEqualTo, headMemory)
		code, header := answerTo(dialTest(t, addr), headOf(12<<10, 20))
		So(code, ShouldEqual, http.StatusServiceUnavailable)
		So(header.Get("Retry-After"), ShouldEqual, "1")
	})
}

const headMemory = 160 << 10

// waitUsed waits, within a bound, until the bytes that are counted are as wanted.
func waitUsed(h *Heads, wanted func(used int64) bool) {
	for range 200 {
		if wanted(h.Used()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func none(used int64) bool { return used == 0 }

// Guards against a head that takes longer than the limit in force, and against telling
// its client that the request must not be sent again.
func TestSlowHeadEndsAtLimitInForce(t *testing.T) {
	Convey("It is answered as not read, on a new connection and a kept one", t, func() {
		_, addr := serveTest(t, Config{Limits: func() Limits { return Limits{HeadTimeout: 100 * time.Millisecond} }})
		for _, first := range []string{"", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"} {
			c := dialTest(t, addr)
			if first != "" {
				code, _ := answerTo(c, first)
				So(code, ShouldEqual, http.StatusOK)
			}
			code, _ := answerTo(c, "GET / HT")
			So(code, ShouldEqual, http.StatusRequestTimeout)
		}
	})
}

// Guards against a refusal that waits for a body that its handler does not read.
func TestRefusalDoesNotWaitForLargeBody(t *testing.T) {
	Convey("It is answered though nothing of the body was sent", t, func() {
		_, addr := serveTest(t, Config{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })})
		code, _ := answerTo(dialTest(t, addr), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\n")
		So(code, ShouldEqual, http.StatusServiceUnavailable)
	})
}

// Guards against the largest head that is allowed being refused for ever, because it
// takes more than the memory for heads.
func TestLargestHeadIsServedInCalm(t *testing.T) {
	Convey("It is served beside nothing, and what is over the memory only by itself", t, func() {
		heads := &Heads{}
		heads.SetLimit(headMemory)
		hold, held := make(chan struct{}), make(chan struct{}, 1)
		_, addr := serveTest(t, Config{Heads: heads, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/held" {
				held <- struct{}{}
				<-hold
			}
		})})
		largest := headOf(16<<10, 8)
		code, _ := answerTo(dialTest(t, addr), largest)
		So(code, ShouldEqual, http.StatusOK)
		waitUsed(heads, none) // its connection is idle a moment after the answer
		io.WriteString(dialTest(t, addr), strings.Replace(headOf(4<<10, 20), "/", "/held", 1))
		select {
		case <-held:
		case <-time.After(10 * time.Second):
			t.Fatal("a head of 4 KB was not served")
		}
		code, _ = answerTo(dialTest(t, addr), largest)
		close(hold)
		So(code, ShouldEqual, http.StatusServiceUnavailable)
	})
}
