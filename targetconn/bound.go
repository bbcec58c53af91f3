package targetconn

import (
	"fmt"
	"io"
)

const (
	// maxHead limits the heads of an answer and of the interim answers before it, in
	// bytes; it is four times what callers may send.
	maxHead = 256 << 10
	// maxInterim is how many interim answers may precede an answer.
	maxInterim = 32
	// maxMismatched is how many answers to other requests are skipped on a
	// connection before it is closed.
	maxMismatched = 3
	// maxBody limits an answer's body, and those of skipped answers together, in
	// bytes.
	maxBody = 64 << 20
)

// What a Bound limits.
const (
	BoundHead       Bound = "head"
	BoundInterim    Bound = "interim_answers"
	BoundMismatched Bound = "other_answers"
	BoundBody       Bound = "body"
	BoundMemory     Bound = "memory" // of a body without a length; the rest finds no room
	BoundTrailing   Bound = "after_answer"
)

var (
	errHeadTooLarge = &BoundError{Bound: BoundHead, Limit: maxHead}
	errBodyTooLarge = &BoundError{Bound: BoundBody, Limit: maxBody}
)

type (
	// Bound names a bound of what a target may send in answer to a request.
	Bound string

	// BoundError means that the target sent more than a bound allows. The
	// connection is closed without reading the rest, which may have no end.
	BoundError struct {
		Bound Bound
		Limit int64 // bytes, or a number of answers
	}

	// boundedReader reads from r at most left bytes, and without a bound if left is
	// negative.
	boundedReader struct {
		r    io.Reader
		left int64
	}
)

// Error implements error.
func (e *BoundError) Error() string {
	return fmt.Sprintf("target sent more than %d of %s", e.Limit, e.Bound)
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.r.Read(p)
	}
	if b.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	return n, err
}

// explain returns why reading a head failed with err. A head that is cut off at the
// bound may look malformed.
func (b *boundedReader) explain(err error) error {
	if b.left == 0 {
		return errHeadTooLarge
	}
	return err
}
