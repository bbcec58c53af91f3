package wire

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against connections that send nothing and use up a node's descriptors, and
// against a node that is cut off because others do.
func TestConnectionsWithoutFramesAreFew(t *testing.T) {
	Convey("The first of them is closed for the next; those of nodes stay", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		s := &Server{MaxSilentConns: 2, Handler: func(_ context.Context, r call.Request) call.Answer { return call.Answer{ID: r.ID, Status: call.OK} }}
		go s.Serve(l)
		ctx := t.Context()
		peer, err := Dial(ctx, l.Addr().String(), DialConfig{})
		So(err, ShouldBeNil)
		defer peer.Close()
		_, err = peer.Call(ctx, call.Request{ID: "first"}, 0)
		So(err, ShouldBeNil)
		var silent []net.Conn
		for range 3 {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			defer c.Close()
			silent = append(silent, c)
		}
		silent[0].SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = silent[0].Read(make([]byte, 1))
		So(err, ShouldNotBeNil)
		netErr, ok := err.(net.Error)
		So(ok && netErr.Timeout(), ShouldBeFalse)
		a, err := peer.Call(ctx, call.Request{ID: "second"}, 0)
		So(err, ShouldBeNil)
		So(a.Status, ShouldEqual, call.OK)
		So(s.openSilent(), ShouldBeLessThanOrEqualTo, 2)
	})
}

func (s *Server) openSilent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.silent)
}

// Guards against nodes that are cut off because all of them connect at once.
func TestManyNodesConnectAtOnce(t *testing.T) {
	Convey("None is closed for another", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		conns := make([]*Conn, 40)
		results := make(chan call.Answer, len(conns))
		for i := range conns {
			conns[i], err = Dial(t.Context(), l.Addr().String(), DialConfig{})
			So(err, ShouldBeNil)
			defer conns[i].Close()
			go func() {
				a, _ := conns[i].Call(t.Context(), call.Request{ID: "first"}, 0)
				results <- a
			}()
		}
		time.Sleep(200 * time.Millisecond) // all are sent
		s := &Server{MaxSilentConns: 2, Handler: func(_ context.Context, r call.Request) call.Answer { return call.Answer{ID: r.ID, Status: call.OK} }}
		go s.Serve(l)
		for range conns {
			a := <-results
			So(a.Status, ShouldEqual, call.OK)
		}
	})
}
