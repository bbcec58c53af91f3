package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node that ends because the handler of one request panics.
func TestPanicEndsItsRequestOnly(t *testing.T) {
	Convey("The caller learns that the request may have run; the next is served", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		s := &Server{Log: &log.Logger{Handler: discard.New()}, Handler: func(_ context.Context, r call.Request) call.Answer {
			if r.ID == "bad" {
				panic("bad request")
			}
			return call.Answer{ID: r.ID, Status: call.OK}
		}}
		go s.Serve(l)
		So(callServer(t, l.Addr().String(), "bad").Status, ShouldEqual, call.Unknown)
		So(callServer(t, l.Addr().String(), "good").Status, ShouldEqual, call.OK)
		for until := time.Now().Add(time.Second); s.InFlight() > 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond) // a request ends once its answer is written
		}
		So(s.InFlight(), ShouldEqual, 0)
	})
}

// callServer sends one request to a server.
func callServer(t *testing.T, addr string, id call.RequestID) call.Answer {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	p := NewPool(PoolConfig{})
	defer p.Close()
	c, err := p.Get(ctx, Peer{Addr: addr})
	if err != nil {
		t.Fatal(err)
	}
	a, err := c.Call(ctx, call.Request{ID: id, Remaining: time.Second}, 0)
	if err != nil {
		t.Fatal(err)
	}
	return a
}
