package memory

import (
	"errors"
	"io"

	"github.com/rotisserie/eris"
)

const (
	// initialBuffer is the size in bytes of the buffer in which a body begins; most end
	// within it.
	initialBuffer = 4 << 10
	// spareRead is how many bytes are read beyond a full buffer before it grows.
	spareRead = 512
	// maxEmptyReads is how often in a row a reader may return nothing.
	maxEmptyReads = 100
)

// ErrStalled means that the reader of a body returned nothing over and over.
var ErrStalled = eris.New("body sends nothing")

// Buffer reads one body into memory that it takes from an account before it is
// allocated. The zero value is an empty body without an account.
type Buffer struct {
	account *Account
	buf     []byte
}

// NewBuffer returns an empty Buffer of an account.
func NewBuffer(a *Account) Buffer { return Buffer{account: a} }

// Bytes returns the body.
func (b *Buffer) Bytes() []byte { return b.buf }

// ReadAll reads r to its end; size is the size of the body if known, else negative.
// On an error, which is ErrNoMemory, ErrStalled or that of r, nothing is held.
func (b *Buffer) ReadAll(r io.Reader, size int64) error {
	err := b.read(r, size)
	if err != nil {
		b.Release()
	}
	return err
}

func (b *Buffer) read(r io.Reader, size int64) error {
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
	return ErrStalled
}

// append adds p, which is in the buffer already unless that is full.
func (b *Buffer) append(p []byte, size int64) error {
	if need := len(b.buf) + len(p); need > cap(b.buf) {
		if err := b.grow(need, size); err != nil {
			return err
		}
	}
	b.buf = append(b.buf, p...)
	return nil
}

// grow moves the body into a buffer of at least need bytes, but no larger than the
// body if its size is known.
func (b *Buffer) grow(need int, size int64) error {
	n := nextSize(cap(b.buf))
	if size >= 0 {
		n = int(min(int64(n), size))
	}
	n = max(n, need)
	if !b.account.takeMore(int64(n), int64(cap(b.buf))) {
		return ErrNoMemory
	}
	old := b.buf
	b.buf = append(make([]byte, 0, n), old...)
	b.account.Give(int64(cap(old)))
	return nil
}

// nextSize returns the size of the buffer after one of a size: few copies are made of a
// small body, and a larger buffer is twice as large as the one before.
func nextSize(size int) int {
	switch {
	case size == 0:
		return initialBuffer
	case size < SmallBody:
		return SmallBody
	}
	return 2 * size
}

// Release gives the memory back. The body must not be used any more.
func (b *Buffer) Release() {
	b.account.Give(int64(cap(b.buf)))
	b.buf = nil
}

// Hold returns what the buffer holds, to be released in its place.
func (b *Buffer) Hold() *Hold { return NewHold(b.account, int64(cap(b.buf))) }
