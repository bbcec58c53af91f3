package inbound

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// What the system holds of the bytes that a client sends and the server does not read, in
// bytes; the system may hold half as much again.
const (
	smallReadBuffer  = 8 << 10
	callerReadBuffer = 16 << 10
)

// ListenSmall listens on a TCP address whose clients send small requests.
func ListenSmall(addr string) (net.Listener, error) { return listen(addr, smallReadBuffer) }

// ListenCallers listens on a TCP address whose clients may send large bodies.
func ListenCallers(addr string) (net.Listener, error) { return listen(addr, callerReadBuffer) }

// listen bounds what the system holds unread of thousands of clients that wait to be
// accepted, or send on while their requests run. The buffer is that of the listener: a
// client is told of it from the start. Shrunk later, it drops what is on the way, and
// each upload may wait 200 ms to be sent again.
func listen(addr string, readBuffer int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, readBuffer)
		})
		return errors.Join(err, set)
	}}
	return cfg.Listen(context.Background(), "tcp", addr)
}
