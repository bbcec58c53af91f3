package wire

import (
	"errors"
	"net"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/timeline"
)

const (
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
)

// listener retries failed accepts.
type listener struct {
	net.Listener
	log *timeline.LimitedLogger
}

// NewListener returns a listener whose Accept fails only once l is closed. A
// process that is out of descriptors or memory for a moment would otherwise stop
// listening, and end, because of one connection.
func NewListener(l net.Listener, lg log.Interface) net.Listener {
	return listener{Listener: l, log: timeline.NewLimitedLogger(lg, timeline.DefaultLinesPerSecond)}
}

// Accept waits for the next connection. The error wraps net.ErrClosed.
func (l listener) Accept() (net.Conn, error) {
	for delay := minAcceptDelay; ; delay = min(2*delay, maxAcceptDelay) {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		l.log.Log("accept_failed", func() log.Fields { return log.Fields{"addr": l.Addr().String(), "error": err.Error()} })
		time.Sleep(delay)
	}
}
