package memory

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Guards against memory that a body takes and does not give back, takes beyond the
// limit, or is read into wrongly as its buffer grows.
func TestBodyBufferKeepsAccount(t *testing.T) {
	errCut := errors.New("cut")
	rapid.Check(t, func(t *rapid.T) {
		var held Account
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		others := rapid.Int64Range(0, limit).Draw(t, "others")
		held.Take(others)
		held.SetLimit(limit)
		body := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 60_000).Draw(t, "tens of bytes"))
		size := rapid.SampledFrom([]int64{int64(len(body)), -1, int64(len(body)) / 2, int64(len(body)) * 2}).Draw(t, "stated size")
		var r io.Reader = bytes.NewReader(body)
		r = rapid.SampledFrom([]func(io.Reader) io.Reader{iotest.HalfReader, iotest.DataErrReader, func(r io.Reader) io.Reader { return r }}).Draw(t, "reader")(r)
		cut := rapid.Bool().Draw(t, "cut")
		if cut {
			r = io.MultiReader(io.LimitReader(r, int64(len(body)/2)), iotest.ErrReader(errCut))
		}
		b := NewBuffer(&held)
		err := b.ReadAll(r, size)
		if used := held.Used(); used > limit || used != others+int64(cap(b.buf)) {
			t.Fatalf("%d bytes counted of %d, others hold %d and the body %d", used, limit, others, cap(b.buf))
		}
		switch {
		case err == nil && (cut || !bytes.Equal(b.buf, body)):
			t.Fatal("another body was read")
		case err != nil && !errors.Is(err, ErrNoMemory) && !(cut && errors.Is(err, errCut)):
			t.Fatal(err)
		case err != nil && b.buf != nil:
			t.Fatal("memory is held after an error")
		}
		b.Release()
		if held.Used() != others {
			t.Fatal("memory is not given back")
		}
	})
}
