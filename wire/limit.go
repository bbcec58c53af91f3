package wire

import (
	"io"

	"github.com/rotisserie/eris"
)

// maxFrame limits a frame, in bytes: the largest body and its head.
const maxFrame = 72 << 20

// errFrameTooLarge ends a connection, which cannot be read any further.
var errFrameTooLarge = eris.Errorf("frame over %d bytes", maxFrame)

// frameReader reads frames of bounded size. Without the bound, a program that is no
// node, or a faulty one, could fill the memory with a frame without end.
type frameReader struct {
	r    io.Reader
	left int64
}

// next begins a frame.
func (f *frameReader) next() { f.left = maxFrame }

// Read implements io.Reader.
func (f *frameReader) Read(p []byte) (int, error) {
	if f.left <= 0 {
		return 0, errFrameTooLarge
	}
	n, err := f.r.Read(p[:min(int64(len(p)), f.left)])
	f.left -= int64(n)
	return n, err
}
