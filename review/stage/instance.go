package stage

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oatpin/oatpin/platform"
	"github.com/rotisserie/eris"
)

// HealthPath is the path of the health check of an Instance.
const HealthPath = "/health"

type (
	// Run is one request that an instance began to work on.
	Run struct {
		ID       string
		Instance string
		Service  string
		Path     string
		Account  string // name of the client account as the instance was told
		Bytes    int64  // of the body
		At       time.Time
		Finished bool // the instance answered before its connection closed
	}

	// InstanceConfig is the configuration of an Instance.
	InstanceConfig struct {
		ID      string
		Service string
		Addr    string
		Slots   int
		// Work returns how long a request takes.
		Work   func(r *http.Request) time.Duration
		Record *Record
	}

	// Instance is a stand-in for an application instance. It works on as many
	// requests as it has slots and rejects the rest. It is safe for concurrent
	// use.
	Instance struct {
		cfg InstanceConfig
		srv *http.Server

		mu   sync.Mutex
		busy int
		runs []*Run
	}
)

// NewInstance starts an instance.
func NewInstance(cfg InstanceConfig) (*Instance, error) {
	l, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "instance %s", cfg.ID)
	}
	in := &Instance{cfg: cfg}
	in.srv = &http.Server{Handler: in}
	go in.srv.Serve(l)
	return in, nil
}

// Close stops the instance.
func (in *Instance) Close() { in.srv.Close() }

// Runs returns what the instance has run.
func (in *Instance) Runs() []Run {
	in.mu.Lock()
	defer in.mu.Unlock()
	all := make([]Run, 0, len(in.runs))
	for _, r := range in.runs {
		all = append(all, *r)
	}
	return all
}

// ServeHTTP works on a request or answers a health check.
func (in *Instance) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := platform.Headers
	if r.URL.Path == HealthPath {
		w.Header().Set(h.Instance, in.cfg.ID)
		return
	}
	id := r.Header.Get(h.RequestID)
	w.Header().Set(h.RequestID, id)
	if expected := r.Header.Get(h.ExpectedInstance); expected != "" && expected != in.cfg.ID {
		w.Header().Set(h.Instance, in.cfg.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !in.enter() {
		w.Header().Set(h.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer in.leave()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return // an incomplete request is not run
	}
	run := in.begin(r, n)
	t := time.NewTimer(in.cfg.Work(r))
	defer t.Stop()
	select {
	case <-t.C:
	case <-r.Context().Done():
		in.cfg.Record.Write("instance %s breaks off %s: its connection was closed", in.cfg.ID, id)
		return
	}
	in.mu.Lock()
	run.Finished = true
	in.mu.Unlock()
	body := fmt.Sprintf("%s %s\n", in.cfg.ID, id)
	w.Header().Set(h.Signature, in.cfg.ID+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	io.WriteString(w, body)
	in.cfg.Record.Write("instance %s answers %s with 200", in.cfg.ID, id)
}

// begin records that the instance begins to work on a request.
func (in *Instance) begin(r *http.Request, bytes int64) *Run {
	h := platform.Headers
	run := &Run{ID: r.Header.Get(h.RequestID), Instance: in.cfg.ID, Service: in.cfg.Service, Path: r.URL.Path,
		Account: r.Header.Get(h.Account), Bytes: bytes, At: time.Now()}
	in.mu.Lock()
	in.runs = append(in.runs, run)
	in.mu.Unlock()
	in.cfg.Record.Write("instance %s (%s) runs %s %s %s, body of %d bytes, %s %q", in.cfg.ID, in.cfg.Service, run.ID, r.Method, run.Path, bytes, h.Account, run.Account)
	return run
}

func (in *Instance) enter() bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.busy >= in.cfg.Slots {
		return false
	}
	in.busy++
	return true
}

func (in *Instance) leave() {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.busy--
}
