package sidecar

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatpin/oatpin/memory"
	. "github.com/smartystreets/goconvey/convey"
)

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
		So(v.node.held.Used(), ShouldBeBetween, bodySize/2, limit+1)
		_, got := m.send(context.Background(), v, http.MethodPost, "/read/x", "small", nil)
		So(got.code, ShouldEqual, http.StatusOK)
		close(release)
		all.Wait()
		So(refused.Load(), ShouldBeGreaterThan, 0)
		So(refused.Load(), ShouldBeLessThan, callers)
		So(awaitZero(&v.node.held), ShouldBeTrue)
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
		So(awaitZero(&v.node.held), ShouldBeTrue)
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

// awaitZero waits up to a second until nothing is held.
func awaitZero(a *memory.Account) bool {
	for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if a.Used() == 0 {
			return true
		}
	}
	return false
}
