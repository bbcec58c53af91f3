package wire

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// writeTimeout bounds one write, after which the connection is closed. If a peer
// stops reading, writes block once the socket buffer is full, and every other
// call on the connection would wait behind them past its deadline.
const writeTimeout = time.Second

// deadlineRefresh is the minimum interval between updates of the write deadline;
// setting it costs as much as encoding a small frame.
const deadlineRefresh = writeTimeout / 4

// frameWriter writes frames to a connection and is safe for concurrent use. A
// goroutine that sees another one waiting leaves the flush to it, so that
// concurrent frames share a system call.
type frameWriter struct {
	nc          net.Conn
	writers     atomic.Int32  // goroutines that hold or wait for lock
	lock        chan struct{} // guards the fields below; not a mutex, because synctest's clock does not advance while one is waited for
	deadlineSet time.Time     // when the write deadline was last set
	w           *bufio.Writer
	enc         *msgpack.Encoder
}

func newFrameWriter(nc net.Conn) *frameWriter {
	w := bufio.NewWriter(nc)
	return &frameWriter{nc: nc, lock: make(chan struct{}, 1), w: w, enc: msgpack.NewEncoder(w)}
}

// write encodes f and flushes it, unless another goroutine is waiting to write
// and will flush. An error means that f was not written completely, so the peer
// cannot have decoded it.
func (fw *frameWriter) write(f Frame) error {
	fw.writers.Add(1)
	fw.lock <- struct{}{}
	defer func() { <-fw.lock }()
	if now := time.Now(); now.Sub(fw.deadlineSet) >= deadlineRefresh {
		fw.deadlineSet = now
		fw.nc.SetWriteDeadline(now.Add(writeTimeout))
	}
	err := fw.enc.Encode(&f)
	waiting := fw.writers.Add(-1)
	if err != nil {
		return err
	}
	if waiting > 0 {
		return nil
	}
	return fw.w.Flush()
}
