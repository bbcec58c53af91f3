package inbound

import (
	"context"
	"errors"
	"net"
	"syscall"
)

// smallReadBuffer is what the system holds, in bytes, of what a client sends unread to a
// port that takes small requests.
const smallReadBuffer = 8 << 10

// ListenSmall listens on a TCP address whose clients send small requests. The buffers
// of connections that wait to be accepted are small too: thousands may wait, and none
// of them has been seen by the server.
func ListenSmall(addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var set error
		err := c.Control(func(fd uintptr) {
			set = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReadBuffer)
		})
		return errors.Join(err, set)
	}}
	return cfg.Listen(context.Background(), "tcp", addr)
}
