package answer

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connect returns both ends of a TCP connection.
func connect(t *testing.T) (near, far *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	nc, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	fc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close(); fc.Close() })
	return nc.(*net.TCPConn), fc.(*net.TCPConn)
}

// writeUntilError writes to w until that fails.
func writeUntilError(w io.Writer) error {
	block := make([]byte, 64<<10)
	for {
		if _, err := w.Write(block); err != nil {
			return err
		}
	}
}

// Guards against a reset that only a write is told of: the reader would take what has
// come as all of it.
func TestReadReportsResetThatWriteWasToldOf(t *testing.T) {
	Convey("After the write has failed", t, func() {
		nc, far := connect(t)
		c := NewConn(nc)
		io.WriteString(far, "part")
		go func() {
			io.ReadFull(far, make([]byte, 100<<10))
			far.SetLinger(0)
			far.Close()
		}()
		So(errors.Is(writeUntilError(c), syscall.ECONNRESET), ShouldBeTrue)
		got, err := io.ReadAll(c)
		So(string(got), ShouldEqual, "part")
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
	Convey("While the write has not returned", t, func() {
		nc, far := connect(t)
		c := NewConn(nc)
		told := make(chan struct{})
		go c.Writing(func() error {
			err := writeUntilError(nc)
			close(told)
			time.Sleep(3 * resetDelay)
			return err
		})
		io.ReadFull(far, make([]byte, 100<<10))
		far.SetLinger(0)
		far.Close()
		<-told
		_, err := io.ReadAll(c)
		So(errors.Is(err, syscall.ECONNRESET), ShouldBeTrue)
	})
}

// Guards against a peer that closes the whole connection beside a write: whether that is
// a reset from the start, or only once more bytes arrive, is a matter of microseconds.
func TestReadReportsResetAfterCloseBesideWrite(t *testing.T) {
	Convey("The peer has read all there was when it closed", t, func() {
		nc, far := connect(t)
		c := NewConn(nc)
		io.WriteString(far, "part")
		far.Close()
		writing := make(chan struct{})
		go c.Writing(func() error {
			_, err := nc.Write([]byte("more"))
			close(writing)
			return errors.Join(err, writeUntilError(nc))
		})
		<-writing
		_, err := io.ReadAll(c)
		So(err, ShouldNotBeNil)
	})
}

// Guards against a sound end that is held back, or refused, because a write goes on.
func TestReadEndsWherePeerHalfClosesBesideWrite(t *testing.T) {
	Convey("The peer reads nothing more", t, func() {
		nc, far := connect(t)
		c := NewConn(nc)
		go c.Writing(func() error { return writeUntilError(nc) })
		io.ReadFull(far, make([]byte, 100<<10))
		io.WriteString(far, "whole")
		far.CloseWrite()
		nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		began := time.Now()
		got, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(string(got), ShouldEqual, "whole")
		// Until then the end may turn out to be a reset.
		So(time.Since(began), ShouldBeGreaterThanOrEqualTo, resetDelay)
	})
}
