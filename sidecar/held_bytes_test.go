package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against memory that a body takes and does not give back, takes beyond the
// limit, or is read into wrongly as its buffer grows.
func TestBodyBufferKeepsAccount(t *testing.T) {
	errCut := errors.New("cut")
	rapid.Check(t, func(t *rapid.T) {
		var held heldBytes
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		others := rapid.Int64Range(0, limit).Draw(t, "others")
		held.take(others, 0)
		body := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 60_000).Draw(t, "tens of bytes"))
		size := rapid.SampledFrom([]int64{int64(len(body)), -1, int64(len(body)) / 2, int64(len(body)) * 2}).Draw(t, "stated size")
		var r io.Reader = bytes.NewReader(body)
		r = rapid.SampledFrom([]func(io.Reader) io.Reader{iotest.HalfReader, iotest.DataErrReader, func(r io.Reader) io.Reader { return r }}).Draw(t, "reader")(r)
		cut := rapid.Bool().Draw(t, "cut")
		if cut {
			r = io.MultiReader(io.LimitReader(r, int64(len(body)/2)), iotest.ErrReader(errCut))
		}
		b := bodyBuffer{held: &held, limit: limit}
		err := b.readFrom(r, size)
		if used := held.used.Load(); used > limit || used != others+int64(cap(b.buf)) {
			t.Fatalf("%d bytes counted of %d, others hold %d and the body %d", used, limit, others, cap(b.buf))
		}
		switch {
		case err == nil && (cut || !bytes.Equal(b.buf, body)):
			t.Fatal("another body was read")
		case err != nil && !errors.Is(err, errNoMemory) && !(cut && errors.Is(err, errCut)):
			t.Fatal(err)
		case err != nil && b.buf != nil:
			t.Fatal("memory is held after an error")
		}
		b.release()
		if held.used.Load() != others {
			t.Fatal("memory is not given back")
		}
	})
}

// Guards against a process that is killed for its memory because bodies that are
// still arriving do not count.
func TestArrivingBodiesCountAgainstMemory(t *testing.T) {
	const (
		callers  = 16
		bodySize = 300 << 10
		limit    = 1 << 20
	)
	m := newMesh(t, "archiv")
	v := m.vms[0]
	v.dir.Apply(m.withBodyLimit(bodySize), 2)
	Convey("They stay within the limit; those beyond it are refused, small ones go on", t, func() {
		release := make(chan struct{})
		var refused atomic.Int64
		var settled, all sync.WaitGroup // bodies half sent or refused
		settled.Add(callers)
		for range callers {
			all.Go(func() {
				settle := sync.OnceFunc(settled.Done)
				defer settle()
				half := strings.Repeat("x", bodySize/2)
				body := io.MultiReader(strings.NewReader(half), pause{settle, release}, strings.NewReader(half))
				if m.upload(v, body) == http.StatusServiceUnavailable {
					refused.Add(1)
				}
			})
		}
		settled.Wait()
		So(v.node.held.used.Load(), ShouldBeBetween, bodySize/2, limit+1)
		_, got := m.send(context.Background(), v, http.MethodPost, "/read/x", "small", nil)
		So(got.code, ShouldEqual, http.StatusOK)
		close(release)
		all.Wait()
		So(refused.Load(), ShouldBeGreaterThan, 0)
		So(refused.Load(), ShouldBeLessThan, callers)
		So(awaitZero(&v.node.held.used), ShouldBeTrue)
	})
	Convey("Nothing is held after requests that end in other ways", t, func() {
		for _, c := range []struct {
			path, body string
			header     map[string]string
		}{{"/none/", "x", nil}, {"/read/x", strings.Repeat("x", bodySize+1), nil}, {"/read/x", "x", map[string]string{"Deadline-Ms": "soon"}},
			{"/lookup/x", "no instance", nil}, {"/publish/x", "ran", nil}} {
			m.send(context.Background(), v, http.MethodPost, c.path, c.body, c.header)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) { time.Sleep(200 * time.Millisecond) })
		m.send(ctx, v, http.MethodPost, "/read/x", "caller leaves", nil)
		So(awaitZero(&v.node.held.used), ShouldBeTrue)
	})
}

// pause is a reader that returns nothing once released.
type pause struct {
	reached func()
	release <-chan struct{}
}

// Read waits for release.
func (p pause) Read([]byte) (int, error) {
	p.reached()
	<-p.release
	return 0, io.EOF
}

// awaitZero waits up to a second until n is zero.
func awaitZero(n *atomic.Int64) bool {
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if n.Load() == 0 {
			return true
		}
	}
	return false
}
