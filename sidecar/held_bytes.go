package sidecar

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// initialBodyBuffer is the size of the buffer in which a body begins.
	initialBodyBuffer = 64 << 10
	// smallBody is the size up to which bodies may use all of the memory for them.
	// Larger ones leave a part of it, so that small requests go on beside a burst
	// of uploads.
	smallBody = initialBodyBuffer
	// largeNum / largeDen is the fraction that larger bodies may use.
	largeNum = 3
	largeDen = 4
	// spareRead is how many bytes are read beyond a full buffer before it grows.
	spareRead = 512
	// maxEmptyReads is how often in a row a reader may return nothing.
	maxEmptyReads = 100
)

var (
	errNoMemory   = errors.New("no memory for the body")
	errBodyStalls = errors.New("body sends nothing")
)

// heldBytes counts the bytes that the node holds for the bodies of requests. It is
// safe for concurrent use.
type heldBytes struct{ used atomic.Int64 }

// take counts n bytes unless more than limit would be held; 0 for no limit.
func (h *heldBytes) take(n, limit int64) bool {
	for {
		used := h.used.Load()
		if limit > 0 && used+n > limit {
			return false
		}
		if h.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// give gives back n bytes.
func (h *heldBytes) give(n int) { h.used.Add(-int64(n)) }

// bodyBuffer reads one body into memory that it takes from an account before it is
// allocated.
type bodyBuffer struct {
	held  *heldBytes
	limit int64 // of the account
	buf   []byte
}

// readFrom reads r to its end; size is the size of the body if known, else
// negative. On an error nothing is held.
func (b *bodyBuffer) readFrom(r io.Reader, size int64) error {
	err := b.read(r, size)
	if err != nil {
		b.release()
	}
	return err
}

func (b *bodyBuffer) read(r io.Reader, size int64) error {
	var spare [spareRead]byte
	for empty := 0; empty < maxEmptyReads; {
		into := b.buf[len(b.buf):cap(b.buf)]
		if len(into) == 0 {
			into = spare[:]
		}
		n, err := r.Read(into)
		if n == 0 && err == nil {
			empty++
			continue
		}
		empty = 0
		if growErr := b.append(into[:n], size); growErr != nil {
			return growErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errBodyStalls
}

// append adds p, which is in the buffer already unless that is full.
func (b *bodyBuffer) append(p []byte, size int64) error {
	if need := len(b.buf) + len(p); need > cap(b.buf) {
		if err := b.grow(need, size); err != nil {
			return err
		}
	}
	b.buf = append(b.buf, p...)
	return nil
}

// grow moves the body into a buffer of at least need bytes: twice as large as
// before, but no larger than the body if its size is known.
func (b *bodyBuffer) grow(need int, size int64) error {
	n := max(2*cap(b.buf), initialBodyBuffer)
	if size >= 0 {
		n = int(min(int64(n), size))
	}
	n = max(n, need)
	limit := b.limit
	if n > smallBody {
		limit = limit * largeNum / largeDen
	}
	if !b.held.take(int64(n), limit) {
		return errNoMemory
	}
	old := b.buf
	b.buf = append(make([]byte, 0, n), old...)
	b.held.give(cap(old))
	return nil
}

// release gives the memory back. The body must not be used any more.
func (b *bodyBuffer) release() {
	b.held.give(cap(b.buf))
	b.buf = nil
}
