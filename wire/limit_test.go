package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a process whose memory is filled by a frame without end, from a
// program that is no node.
func TestFrameWithoutEndClosesConnection(t *testing.T) {
	Convey("The server closes the connection at the bound", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		s := &Server{Handler: func(_ context.Context, r call.Request) call.Answer { return call.Answer{ID: r.ID, Status: call.OK} }}
		go s.Serve(l)
		c, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		defer c.Close()
		c.SetDeadline(time.Now().Add(5 * time.Second))
		// A frame with a string of 4 GB in place of its sender.
		_, err = c.Write([]byte{0x96, 0x01, 0x01, 0xc0, 0xc0, 0x00, 0xdb, 0xff, 0xff, 0xff, 0xff})
		So(err, ShouldBeNil)
		written, block := 0, make([]byte, 1<<20)
		for err == nil {
			var n int
			n, err = c.Write(block)
			written += n
		}
		So(err, ShouldNotEqual, io.EOF)
		So(written, ShouldBeLessThan, 2*maxFrame)
	})
}
