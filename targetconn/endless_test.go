package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// endlessDeadline is the time for a request to a target that answers without end. It
// is to end long before.
const endlessDeadline = 10 * time.Second

// headSlack is what may be read beyond the bound of a head: a read buffer.
const headSlack = 8 << 10

// countingConn counts the bytes read.
type countingConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// endless answers with start and then with repeated until the connection is closed,
// and reports that.
func endless(start, repeated string, closed chan<- time.Time) func(int, net.Conn, *bufio.Reader) {
	return func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); !ok {
			return
		}
		_, err := io.WriteString(c, start)
		for err == nil {
			_, err = io.WriteString(c, repeated)
		}
		closed <- time.Now()
	}
}

// doEndless sends one request to such a target.
func doEndless(t *testing.T, start, repeated string) (read int64, took, closedAfter time.Duration, err error) {
	closed := make(chan time.Time, 1)
	p, _ := startTarget(t, endless(start, repeated, closed))
	var count atomic.Int64
	dial := p.cfg.Dial
	p.cfg.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		nc, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{nc.(*net.TCPConn), &count}, nil
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), endlessDeadline)
	defer cancel()
	_, err = p.Do(ctx, request("r1"))
	took = time.Since(began)
	select {
	case at := <-closed:
		closedAfter = at.Sub(began)
	case <-time.After(3 * time.Second):
		closedAfter = time.Since(began)
	}
	return count.Load(), took, closedAfter, err
}

// Guards against a target whose answer has no end: its bytes must neither fill the
// memory nor hold the request until its deadline.
func TestAnswerWithoutEndIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nSignature: s\r\n"
	block := strings.Repeat("x", 32<<10)
	for _, c := range []struct {
		name, start, repeated string
		bound                 Bound
		limit                 int64
	}{
		{"a status line", "HTTP/1.1 200 ", block, BoundHead, maxHead},
		{"one header line", head + "X: ", block, BoundHead, maxHead},
		{"header lines", head, strings.Repeat("X: y\r\n", 4000), BoundHead, maxHead},
		{"interim answers", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", 100), BoundInterim, maxHead},
		{"answers to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nContent-Length: 3\r\n\r\nold", BoundMismatched, maxHead},
		{"the body of an answer to another request", "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\n\r\n", block, BoundMismatched, maxBody},
		{"a body without length", head + "\r\n", block, BoundBody, maxBody},
		{"a body in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(block), block), BoundBody, maxBody + maxBody/8},
		{"a length over the bound", head + "Content-Length: 100000000000\r\n\r\n", block, BoundBody, maxHead},
	} {
		Convey(c.name, t, func() {
			read, took, closedAfter, err := doEndless(t, c.start, c.repeated)
			So(errors.Is(err, ErrNoAnswer), ShouldBeTrue)
			var bound *BoundError
			So(errors.As(err, &bound), ShouldBeTrue)
			So(bound.Bound, ShouldEqual, c.bound)
			So(read, ShouldBeLessThanOrEqualTo, c.limit+headSlack)
			So(took, ShouldBeLessThan, endlessDeadline/2)
			So(closedAfter, ShouldBeLessThan, took+time.Second)
		})
	}
}

// Guards against a connection that stays open although the target goes on sending
// after its answer.
func TestConnectionWithBytesAfterAnswerIsClosed(t *testing.T) {
	Convey("The answer is delivered, the rest is not read, and the connection is closed within a second", t, func() {
		read, _, closedAfter, err := doEndless(t, response("r1", "whole"), strings.Repeat("x", 32<<10))
		So(err, ShouldBeNil)
		So(read, ShouldBeLessThanOrEqualTo, headSlack)
		So(closedAfter, ShouldBeLessThan, time.Second)
	})
	Convey("Also if it begins later", t, func() {
		closed := make(chan time.Time, 1)
		p, _ := startTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); !ok {
				return
			}
			io.WriteString(c, response("r1", "whole"))
			time.Sleep(100 * time.Millisecond)
			io.WriteString(c, "stray")
			r.ReadByte()
			closed <- time.Now()
		})
		reported := make(chan time.Time, 2)
		p.cfg.OnTrailing = func() { reported <- time.Now() }
		began := time.Now()
		_, err := do(p, "r1")
		So(err, ShouldBeNil)
		So((<-closed).Sub(began), ShouldBeLessThan, time.Second)
		So((<-reported).Sub(began), ShouldBeLessThan, time.Second)
		So(reported, ShouldBeEmpty)
	})
}
