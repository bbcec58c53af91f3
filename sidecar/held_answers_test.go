package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// awaitNothingHeld waits up to two seconds until no node holds bytes for bodies.
func (m *mesh) awaitNothingHeld() string {
	var held string
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		held = ""
		for _, v := range m.vms {
			if r, a, e := v.node.held.Used(), v.node.heldAnswers.Used(), v.node.awaited.Used(); r+a+e != 0 {
				held += fmt.Sprintf("%s holds %d bytes of requests and %d of answers, and expects %d; ", v.ip, r, a, e)
			}
		}
		if held == "" {
			return ""
		}
	}
	return held
}

// limitMemory sets the memory for bodies at all nodes.
func (m *mesh) limitMemory(requests, answers int64) {
	for _, v := range m.vms {
		tuning := *v.node.tuning.Load()
		tuning.MaxHeldBodyBytes, tuning.MaxHeldAnswerBytes = requests, answers
		v.node.Tune(tuning)
	}
}

// startRequest sends a request on a connection of its own and returns that unread.
func startRequest(v *vm, id, path string) net.Conn {
	c, err := net.Dial("tcp", v.node.cfg.CallerAddr)
	So(err, ShouldBeNil)
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", path, id)
	return c
}

// Guards against a process that is killed for its memory because its callers read
// large answers slowly.
func TestUnreadAnswersStayWithinMemory(t *testing.T) {
	const (
		callers = 16
		size    = 4 << 20
		limit   = 2 * size
	)
	m := newMesh(t, "archiv", "archiv")
	m.limitMemory(1<<20, limit)
	for _, v := range m.vms {
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			body := "small"
			if strings.HasSuffix(r.URL.Path, "/large") {
				body = strings.Repeat("x", size)
				w.Header().Set("Content-Length", strconv.Itoa(size))
			}
			writeSigned(w, r, http.StatusOK, body)
		})
	}
	Convey("What nodes hold stays within the limit, small requests go on, and all is given back", t, func() {
		var most [2]int64
		stop := make(chan struct{})
		var watch sync.WaitGroup
		watch.Go(func() {
			for {
				for i, v := range m.vms {
					most[i] = max(most[i], v.node.heldAnswers.Used())
				}
				select {
				case <-stop:
					return
				case <-time.After(time.Millisecond):
				}
			}
		})
		var conns []net.Conn
		for i := range callers {
			conns = append(conns, startRequest(m.vms[i%2], fmt.Sprint("large-", i), "/read/large"))
		}
		time.Sleep(300 * time.Millisecond)
		for range 10 {
			_, got := m.get(m.vms[0], "/open/small")
			So(got.code, ShouldEqual, http.StatusOK)
		}
		for _, c := range conns {
			c.Close()
		}
		So(m.awaitNothingHeld(), ShouldBeEmpty)
		close(stop)
		watch.Wait()
		for i := range most {
			So(most[i], ShouldBeLessThanOrEqualTo, limit)
			So(most[i], ShouldBeGreaterThanOrEqualTo, size)
		}
	})
}

// Guards against actions that run and whose large answers find no room at the node
// that their callers asked.
func TestRequestsWithoutRoomForTheirAnswersAreNotRun(t *testing.T) {
	const (
		size  = 12 << 20 // more than sockets hold
		limit = 8 * size
	)
	m := newMesh(t, "entwurf", "archiv")
	m.limitMemory(1<<20, limit)
	m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(size))
		writeSigned(w, r, http.StatusOK, strings.Repeat("x", size))
	})
	Convey("Once the size is known, those beyond the memory get 503 and do not run", t, func() {
		_, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusOK)
		var unread []net.Conn
		for i := range 6 {
			unread = append(unread, startRequest(m.vms[0], fmt.Sprint("unread-", i), "/publish/x"))
		}
		time.Sleep(300 * time.Millisecond)
		for range 5 {
			id, got := m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
			So(got.code, ShouldEqual, http.StatusServiceUnavailable)
			So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		}
		for _, c := range unread {
			c.Close()
		}
		So(m.awaitNothingHeld(), ShouldBeEmpty)
		_, got = m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// Guards against a body within the limits of the routes that an idle node refuses
// each time.
func TestLargestBodyIsServed(t *testing.T) {
	const largest = 64 << 20
	m := newMesh(t, "archiv")
	v := m.vms[0]
	m.limitMemory(284<<20*3/8, 284<<20/4)
	changes := m.withBodyLimit(largest)
	rt, err := changes[0].Routes.Match("h", "/read/")
	if err != nil {
		t.Fatal(err)
	}
	rt.Timeout = 20 * time.Second // a busy machine takes seconds for such a body
	v.dir.Apply(changes, 2)
	Convey("In chunks and with a length", t, func() {
		for _, body := range []io.Reader{strings.NewReader(strings.Repeat("x", largest)), io.MultiReader(strings.NewReader(strings.Repeat("x", largest)))} {
			So(m.upload(v, body), ShouldEqual, http.StatusOK)
			So(m.awaitNothingHeld(), ShouldBeEmpty)
		}
	})
}

// endings are ways in which a target ends its answer.
var endings = map[string]http.HandlerFunc{
	"whole": func(w http.ResponseWriter, r *http.Request) {
		writeSigned(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
	},
	"failure": func(w http.ResponseWriter, r *http.Request) {
		writeSigned(w, r, http.StatusInternalServerError, strings.Repeat("x", 200<<10))
	},
	"foreign": func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, strings.Repeat("x", 200<<10)) },
	"cut": func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(400<<10))
		writeSigned(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
		panic(http.ErrAbortHandler)
	},
	"late": func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(60 * time.Millisecond)
		writeSigned(w, r, http.StatusOK, strings.Repeat("x", 200<<10))
	},
	"without end": func(w http.ResponseWriter, r *http.Request) {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(w, strings.Repeat("x", 32<<10))
		}
	},
}

// Guards against bytes that stay counted after their request has ended, in whatever
// way: each would leave less memory for all later ones.
func TestNothingIsHeldAfterRequestsEnd(t *testing.T) {
	m := newMesh(t, "archiv", "archiv")
	m.limitMemory(1<<20, 1<<20)
	names := make([]string, 0, len(endings))
	for name := range endings {
		names = append(names, name)
	}
	rapid.Check(t, func(t *rapid.T) {
		ending := rapid.SampledFrom(names).Draw(t, "ending")
		for _, v := range m.vms {
			v.target.handleWith(endings[ending])
		}
		var all sync.WaitGroup
		for i := range rapid.IntRange(1, 8).Draw(t, "requests") {
			deadline := time.Duration(rapid.IntRange(20, 200).Draw(t, "deadline")) * time.Millisecond
			leaves := time.Duration(rapid.IntRange(1, 300).Draw(t, "caller leaves after")) * time.Millisecond
			path := rapid.SampledFrom([]string{"/read/x", "/publish/x"}).Draw(t, "path")
			body := strings.Repeat("b", rapid.IntRange(0, 100<<10).Draw(t, "body"))
			all.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), leaves)
				defer cancel()
				m.send(ctx, m.vms[i%2], http.MethodPost, path, body, map[string]string{"Deadline-Ms": strconv.FormatInt(deadline.Milliseconds(), 10)})
			})
		}
		all.Wait()
		if held := m.awaitNothingHeld(); held != "" {
			t.Fatal(held)
		}
	})
}
