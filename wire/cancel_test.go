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

// A member closes the page while a ranking is being read three hops below.
// The work must stop there at once: in an overload, answers nobody reads
// would hold the slots that others wait for. Other calls on the same
// connection go on.
func TestGivenUpCallIsCancelledAtThePeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		ended := make(chan call.RequestID, 2)
		s := &Server{Handler: func(ctx context.Context, r call.Request) call.Answer {
			select {
			case <-ctx.Done():
				ended <- r.ID
			case <-time.After(10 * time.Second):
			}
			return call.Answer{ID: r.ID, Status: call.OK}
		}}
		go s.serveConn(far)
		c := NewConn(near, DialConfig{})
		ctx, leave := context.WithCancel(context.Background())
		go c.Call(ctx, call.Request{ID: "left"}, 1)
		other := make(chan call.Answer, 1)
		go func() { a, _ := c.Call(context.Background(), call.Request{ID: "stays"}, 1); other <- a }()
		time.Sleep(time.Second)
		leave()
		synctest.Wait()
		Convey("Only the call given up is cancelled, without delay", t, func() {
			So(len(ended), ShouldEqual, 1)
			So(<-ended, ShouldEqual, call.RequestID("left"))
			So((<-other).Status, ShouldEqual, call.OK)
		})
		c.Close()
		synctest.Wait()
		Convey("Nothing is kept of calls that have ended", t, func() { So(len(ended), ShouldEqual, 0) })
	})
}
