package sidecar

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var block = strings.Repeat("x", 32<<10)

// serveEach calls answer once for each connection, after one request has been read, and
// then closes it.
func serveEach(l net.Listener, answer func(c net.Conn)) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			answer(c)
		}()
	}
}

// serveEndless answers each request with start and then with repeated until its
// connection is closed.
func serveEndless(l net.Listener, start, repeated string) {
	serveEach(l, func(c net.Conn) {
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = io.WriteString(c, repeated)
		}
	})
}

// endlessAnswers are answers that begin with start and go on with repeated.
var endlessAnswers = []struct{ name, start, repeated string }{
	{"a status line", "HTTP/1.1 200 ", block},
	{"one header line", "HTTP/1.1 200 OK\r\nX: ", block},
	{"header lines", "HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 4000)},
	{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 100)},
	{"a body without length", "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n", block},
	{"a body in chunks", "HTTP/1.1 200 OK\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + block + "\r\n"},
}

// Guards against callers that wait until their deadline because all instances of a
// service answer without end.
func TestAllInstancesAnswerWithoutEnd(t *testing.T) {
	for _, c := range endlessAnswers {
		Convey(c.name, t, func() {
			m := &mesh{t: t, port: freePort(t)}
			m.serve = func(l net.Listener, _ string) { serveEndless(l, c.start, c.repeated) }
			m.populate([]string{"archiv", "archiv"})
			m.limitMemory(1<<20, 4<<20)
			for _, path := range []string{"/publish/x", "/read/x"} {
				began := time.Now()
				_, got := m.send(context.Background(), m.vms[0], http.MethodPost, path, "n", nil)
				So(got.code, ShouldEqual, http.StatusBadGateway)
				So(time.Since(began), ShouldBeLessThan, 900*time.Millisecond) // of a timeout of 1 s
			}
			So(m.awaitNothingHeld(), ShouldBeEmpty)
		})
	}
}

// Guards against one instance that answers without end and so keeps callers until
// their deadline, or the healthy instance of its service without requests.
func TestInstanceThatAnswersWithoutEndIsAvoided(t *testing.T) {
	for _, c := range endlessAnswers {
		Convey(c.name, t, func() {
			m := &mesh{t: t, port: freePort(t)}
			m.serve = func(l net.Listener, id string) {
				if id == "i-127.0.0.2" {
					serveEndless(l, c.start, c.repeated)
					return
				}
				(&http.Server{Handler: &fakeTarget{id: id, runsByID: map[string]int{}}}).Serve(l)
			}
			m.populate([]string{"archiv", "archiv"})
			m.limitMemory(1<<20, 4<<20)
			for range 20 {
				began := time.Now()
				_, got := m.get(m.vms[0], "/read/x")
				So(got.code, ShouldEqual, http.StatusOK)
				So(time.Since(began), ShouldBeLessThan, time.Second)
			}
			failed := 0
			for range 10 {
				began := time.Now()
				_, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
				So(time.Since(began), ShouldBeLessThan, time.Second)
				if got.code != http.StatusOK {
					So(got.code, ShouldEqual, http.StatusBadGateway)
					failed++
				}
			}
			So(failed, ShouldBeLessThan, 5) // half of them if it were not avoided
			So(metricLine(readMetrics(m.vms[0]), "oatpin_target_answers_over_bound_total"), ShouldNotBeEmpty)
		})
	}
}
