package wire

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Cancelling a call must cancel its handler at the peer at once, or abandoned
// work would occupy slots during an overload. Other calls on the same connection
// must not be affected.
func TestCancelledCallIsCancelledAtPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		cancelled := make(chan call.RequestID, 2)
		s := &Server{Handler: func(ctx context.Context, r call.Request) call.Answer {
			select {
			case <-ctx.Done():
				cancelled <- r.ID
			case <-time.After(10 * time.Second):
			}
			return call.Answer{ID: r.ID, Status: call.OK}
		}}
		go s.serveConn(far)
		c := NewConn(near, DialConfig{})
		ctx, cancel := context.WithCancel(context.Background())
		go c.Call(ctx, call.Request{ID: "left"}, 1)
		other := make(chan call.Answer, 1)
		go func() { a, _ := c.Call(context.Background(), call.Request{ID: "stays"}, 1); other <- a }()
		time.Sleep(time.Second)
		cancel()
		synctest.Wait()
		Convey("Only the handler of the cancelled call is cancelled, without delay", t, func() {
			So(len(cancelled), ShouldEqual, 1)
			So(<-cancelled, ShouldEqual, call.RequestID("left"))
			So((<-other).Status, ShouldEqual, call.OK)
		})
		c.Close()
		synctest.Wait()
		Convey("Closing the connection cancels no handler that has returned", t, func() { So(len(cancelled), ShouldEqual, 0) })
	})
}
