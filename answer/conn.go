package answer

import (
	"cmp"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// tcpCloseWait is the state of a TCP connection whose peer has ended its side.
	tcpCloseWait = 8
	// resetDelay is how soon a reset follows where the peer has closed the whole
	// connection and not its side alone: the bytes on the way to it cause one.
	resetDelay = 20 * time.Millisecond
)

type (
	// Conn is a connection whose reads return io.EOF only where the peer has ended its
	// side, and not also after a reset. The system reports a reset to one call. If that
	// is the write of a request, reads see an end of file, and a part of an answer that
	// has no length looks like the whole.
	Conn struct {
		net.Conn

		mu       sync.Mutex // held while a request is written
		writeErr error      // of the first write that failed
	}
)

// NewConn returns a Conn over nc.
func NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (n int, err error) {
	err = c.Writing(func() error {
		n, err = c.Conn.Write(p)
		return err
	})
	return n, err
}

// Writing calls write, which writes to the underlying connection in one or more parts.
// It returns the error of write.
func (c *Conn) Writing(write func() error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := write()
	if c.writeErr == nil {
		c.writeErr = err
	}
	return err
}

// Read implements net.Conn. While a request is written, io.EOF comes at the end of the
// write, or resetDelay after the peer ended its side.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(c.resetError(), err)
	}
	return n, err
}

// resetError returns the error of the write that was told of a reset, or nil if there
// was none.
func (c *Conn) resetError() error {
	if !c.mu.TryLock() {
		// An upload goes on for as long as its peer lets it, also where the answer has
		// ended soundly.
		if c.halfClosed() {
			time.Sleep(resetDelay)
			if c.halfClosed() {
				return nil
			}
		}
		c.mu.Lock()
	}
	defer c.mu.Unlock()
	return c.writeErr
}

// halfClosed reports whether the peer is known to have ended its side and nothing else.
func (c *Conn) halfClosed() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = rc.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return err == nil && closed
}
