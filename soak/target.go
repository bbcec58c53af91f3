package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/rotisserie/eris"
)

const (
	// serviceTime is how long a Target takes to execute a request.
	serviceTime = 5 * time.Millisecond
	// listenTimeout is how long a Target may wait for its address to be free.
	listenTimeout = time.Second
)

// Target is a simulated instance that echoes the ID of each request and counts
// executions. Its methods are safe for concurrent use.
type Target struct {
	id       string
	headers  call.Headers
	listener net.Listener
	srv      *http.Server

	run string // identifies this target among all with its ID; its signature

	endless atomic.Pointer[endlessAnswer] // nil for whole answers
	padding atomic.Int64                  // further bytes of each answer

	mu        sync.Mutex
	runs      map[string]int // number of executions by request ID
	unhealthy bool
	onPoison  func()
	statements
}

// poisonBody is the body of a request that makes the target executing it call
// the function set by SetOnPoison.
const poisonBody = "fatal"

// targetCount is the number of targets started.
var targetCount atomic.Int64

// healthPath is the path of a Target's health check.
const healthPath = "/health"

// NewTarget starts a target that serves at addr as the instance with the given
// ID.
func NewTarget(id, addr string, h call.Headers) (*Target, error) {
	listener, err := listen(addr)
	if err != nil {
		return nil, eris.Wrapf(err, "target at %s", addr)
	}
	t := &Target{id: id, headers: h, listener: listener, runs: map[string]int{}, run: fmt.Sprintf("%s.%d", id, targetCount.Add(1))}
	t.srv = &http.Server{Handler: t}
	go t.srv.Serve(listener)
	return t, nil
}

// listen listens at an address within listenTimeout. The listener before may still
// be open for a moment in a process that is being started: until it executes its
// program, it shares the descriptors of this one.
func listen(addr string) (net.Listener, error) {
	for until := time.Now().Add(listenTimeout); ; time.Sleep(time.Millisecond) {
		l, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return l, err
		}
	}
}

// FailHealthChecks makes the health check fail. The target still serves
// requests.
func (t *Target) FailHealthChecks() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unhealthy = true
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.Header().Set(t.headers.Instance, t.id)
	if t.unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Close stops the target and frees its address for the next one. It closes the
// listener itself because the server may not have registered it yet.
func (t *Target) Close() {
	t.listener.Close()
	t.srv.Close()
}

// SetOnPoison sets the function to call when the target executes a request with
// poisonBody.
func (t *Target) SetOnPoison(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onPoison = f
}

func (t *Target) handlePoison() {
	t.mu.Lock()
	f := t.onPoison
	t.mu.Unlock()
	if f != nil {
		f()
	}
}

// Executions returns how often the target has executed the request with the
// given ID.
func (t *Target) Executions(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// TotalExecutions returns how many requests the target has executed.
func (t *Target) TotalExecutions() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, runs := range t.runs {
		n += runs
	}
	return n
}

// ServeHTTP executes a request or answers a health check.
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
		return // incomplete request: not executed
	}
	t.mu.Lock()
	t.runs[id]++
	t.arrivals = append(t.arrivals, arrival{id: id, at: time.Now()})
	t.mu.Unlock()
	time.Sleep(serviceTime)
	t.writeStatements(w.Header())
	if string(body) == poisonBody {
		t.handlePoison()
		return
	}
	if a := t.endless.Load(); a != nil {
		writeEndless(w, a)
		return
	}
	w.Header().Set(t.headers.Signature, t.run)
	answer := responseBody(id, string(body)) + strings.Repeat(".", int(t.padding.Load()))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
}

// SetPadding sets by how many bytes answers are larger than usual.
func (t *Target) SetPadding(bytes int64) { t.padding.Store(bytes) }

// responseBody returns the body of the response to a request. The padding makes
// it long enough to be transferred in several parts.
func responseBody(id, body string) string { return id + " " + body + strings.Repeat(".", 2000) }
