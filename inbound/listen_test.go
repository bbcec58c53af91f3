package inbound

import (
	"net"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against unread bytes of clients that wait to be accepted, some 64 KB each.
func TestWaitingConnectionsHaveSmallBuffers(t *testing.T) {
	Convey("The system's buffer of a connection is that of the listener", t, func() {
		l, err := ListenSmall("127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		waiting, err := l.Accept()
		So(err, ShouldBeNil)
		defer waiting.Close()
		raw, err := waiting.(*net.TCPConn).SyscallConn()
		So(err, ShouldBeNil)
		var size int
		So(raw.Control(func(fd uintptr) {
			size, err = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		}), ShouldBeNil)
		So(err, ShouldBeNil)
		So(size, ShouldBeLessThanOrEqualTo, 2*smallReadBuffer) // the system doubles it
	})
}
