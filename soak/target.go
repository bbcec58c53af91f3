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
	srv     *http.Server

	mu  sync.Mutex
	ran map[string]int // by request id
}

// NewTarget serves at addr as the instance with an id.
func NewTarget(id, addr string, h call.Headers) (*Target, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, eris.Wrapf(err, "target at %s", addr)
	}
	t := &Target{id: id, headers: h, ran: map[string]int{}}
	t.srv = &http.Server{Handler: t}
	go t.srv.Serve(l)
	return t, nil
}

// Close ends the target.
func (t *Target) Close() { t.srv.Close() }

// Runs returns how often the target has run a request.
func (t *Target) Runs(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ran[id]
}

// ServeHTTP runs one request.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	w.Header().Set(t.headers.Signature, t.id)
	io.WriteString(w, answerTo(id, string(body)))
}

// answerTo is the whole answer to a request; long enough for several pieces.
func answerTo(id, body string) string { return id + " " + body + strings.Repeat(".", 2000) }
