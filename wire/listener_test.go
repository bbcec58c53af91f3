package wire

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// failingListener fails the first accepts.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a node that stops listening to its peers because it had no free
// descriptor for one connection.
func TestServerOutlivesFailedAccepts(t *testing.T) {
	Convey("Requests are served once accepts succeed again, until the listener is closed", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		failing := &failingListener{Listener: l}
		failing.failures.Store(3)
		s := &Server{Handler: func(_ context.Context, r call.Request) call.Answer { return call.Answer{ID: r.ID, Status: call.OK} }}
		served := make(chan error, 1)
		go func() { served <- s.Serve(NewListener(failing, &log.Logger{Handler: discard.New()})) }()
		So(callServer(t, l.Addr().String(), "first").Status, ShouldEqual, call.OK)
		l.Close()
		So(<-served, ShouldBeNil)
	})
}
