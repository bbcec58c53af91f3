package wire

import (
	"bufio"
	"net"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// writeTimeout bounds one write. A peer that reads nothing, or a box in
// between that has forgotten the connection, shows as a write that blocks
// once the socket's buffer is full; every other call would wait behind it
// past its deadline. Past this the connection is closed.
const writeTimeout = time.Second

// renewAfter is how old a write's bound may be to hold for the next write too:
// setting it takes as long as encoding a small frame.
const renewAfter = writeTimeout / 4

// frameWriter writes frames from many goroutines to one connection. A
// writer that sees another waiting leaves the flush to it, so frames that
// come together share one system call; the last one always flushes.
type frameWriter struct {
	nc     net.Conn
	queued atomic.Int32  // writers that hold or wait for lock
	lock   chan struct{} // of one token; guards w and enc. Not a mutex: synctest's clock stands still while one is waited for
	bound  time.Time     // when the writes' bound was last set
	w      *bufio.Writer
	enc    *msgpack.Encoder
}

func newFrameWriter(nc net.Conn) *frameWriter {
	w := bufio.NewWriter(nc)
	return &frameWriter{nc: nc, lock: make(chan struct{}, 1), w: w, enc: msgpack.NewEncoder(w)}
}

// write encodes f and sees to it that it is flushed. An error means f was
// not written whole, so the peer cannot have decoded it.
func (fw *frameWriter) write(f Frame) error {
	fw.queued.Add(1)
	fw.lock <- struct{}{}
	defer func() { <-fw.lock }()
	if now := time.Now(); now.Sub(fw.bound) >= renewAfter {
		fw.bound = now
		fw.nc.SetWriteDeadline(now.Add(writeTimeout))
	}
	err := fw.enc.Encode(&f)
	others := fw.queued.Add(-1)
	if err != nil {
		return err
	}
	if others > 0 {
		return nil
	}
	return fw.w.Flush()
}
