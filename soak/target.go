package soak

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
)

// workTime is how long a Target works on a request.
const workTime = 5 * time.Millisecond

// Target is a stand-in of an instance that answers each request with its id
// and counts what it ran.
type Target struct {
	id      string
	headers call.Headers
	l       net.Listener
	srv     *http.Server

	mu      sync.Mutex
	ran     map[string]int // by request id
	leaving bool
	onFatal func()
}

// fatalBody ends the target that begins to run a request with it.
const fatalBody = "fatal"

// healthPath is where a Target says whether it is well.
const healthPath = "/health"

// NewTarget serves at addr as the instance with an id.
func NewTarget(id, addr string, h call.Headers) (*Target, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "target at %s", addr)
	}
	t := &Target{id: id, headers: h, l: l, ran: map[string]int{}}
	t.srv = &http.Server{Handler: t}
	go t.srv.Serve(l)
	return t, nil
}

// Leave lets the target's health check fail; it serves on.
func (t *Target) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(t.headers.Instance, t.id)
	if t.leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Close ends the target. The server knows its listener only once it runs, and
// the next target is to listen at the same address.
func (t *Target) Close() {
	t.l.Close()
	t.srv.Close()
}

// SetOnFatal sets what ends the target when it runs a request with fatalBody.
func (t *Target) SetOnFatal(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onFatal = f
}

func (t *Target) endFatally() {
	t.mu.Lock()
	f := t.onFatal
	t.mu.Unlock()
	if f != nil {
		f()
	}
}

// Runs returns how often the target has run a request.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// ServeHTTP runs one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		t.serveHealth(w)
		return
	}
	id := r.Header.Get(t.headers.RequestID)
	w.Header().Set(t.headers.RequestID, id)
	if r.Header.Get(t.headers.ExpectedInstance) != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // cut on the way here: nothing has run
	}
	t.mu.Lock()
	t.ran[id]++
	t.mu.Unlock()
	time.Sleep(workTime)
	if string(body) == fatalBody {
		t.endFatally()
		return
	}
	w.Header().Set(t.headers.Signature, t.id)
	io.WriteString(w, answerTo(id, string(body)))
}

// answerTo is the whole answer to a request; long enough for several pieces.
func answerTo(id, body string) string { return id + " " + body + strings.Repeat(".", 2000) }
