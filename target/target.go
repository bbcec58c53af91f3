package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/answer"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"golang.org/x/net/netutil"
)

// drainPeriod is how long a leaving target keeps refusing new calls before its
// listener may be closed.
const drainPeriod = 2 * time.Second

type (
	// Config configures a Target.
	Config struct {
		Service   string
		Graph     *callgraph.Graph
		NodeURL   string        // base URL of the local node, without a trailing slash
		ColdStart time.Duration // period after start in which operations take three times as long
		HealthLag time.Duration // maximum age of the state that GET /health reports
		Client    *http.Client  // for calls to dependencies; nil for a default client
	}

	// Target is a simulated service instance. Its methods are safe for
	// concurrent use.
	Target struct {
		cfg     Config
		service *callgraph.Service
		slots   chan struct{}
		health  cachedValue[Health]
		started time.Time
		client  *http.Client

		serviceTimePercent atomic.Int64 // percentage of the configured service time
		paused             atomic.Bool
		draining           atomic.Bool
		refusing           atomic.Bool
		inflight           atomic.Int64
		arrivals           atomic.Int64

		mu      sync.Mutex
		commits map[call.Key]int // number of commits of each non-idempotent call
	}
)

// New builds a Target for cfg.Service of cfg.Graph.
func New(cfg Config) *Target {
	s := cfg.Graph.Services[cfg.Service]
	t := &Target{cfg: cfg, service: s, slots: make(chan struct{}, s.Slots), started: time.Now(), client: cfg.Client, commits: map[call.Key]int{}}
	if t.client == nil {
		t.client = answer.NewClient(&http.Transport{MaxIdleConnsPerHost: 256})
	}
	t.health.ttl = cfg.HealthLag
	t.serviceTimePercent.Store(100)
	return t
}

// LimitConnections wraps l so that it accepts at most the number of concurrent
// connections configured for the service; it returns l itself if there is no
// limit.
func (t *Target) LimitConnections(l net.Listener) net.Listener {
	if t.service.Connections <= 0 {
		return l
	}
	return netutil.LimitListener(l, t.service.Connections)
}

// Handler returns the handler of the target's operations, health check and admin
// endpoints.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{operation}", t.handleOperation)
	mux.HandleFunc("GET /health", t.handleHealth)
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		f, _ := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		t.SetSlowdown(f)
	})
	mux.HandleFunc("POST /admin/pause", func(w http.ResponseWriter, r *http.Request) { t.paused.Store(r.URL.Query().Get("on") != "false") })
	mux.HandleFunc("POST /admin/drain", func(w http.ResponseWriter, r *http.Request) { t.Drain() })
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(t.CommitCounts())
	})
	return mux
}

// SetSlowdown multiplies the service time of every operation by factor; a
// factor of 0 or less resets it to 1.
func (t *Target) SetSlowdown(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	t.serviceTimePercent.Store(int64(factor * 100))
}

// Drain makes the target refuse every new call as not run, with a Retry-After of
// 1 s.
func (t *Target) Drain() { t.draining.Store(true) }

// DrainAndWait drains the target and waits for drainPeriod, so that the node
// learns of it from a refusal instead of from failed dials once the listener is
// closed.
func (t *Target) DrainAndWait() {
	t.Drain()
	time.Sleep(drainPeriod)
}

// RefuseCalls makes the target refuse every new call as not run, without a
// Retry-After header.
func (t *Target) RefuseCalls() { t.refusing.Store(true) }

// Arrivals returns the number of calls received, including refused ones.
func (t *Target) Arrivals() int64 { return t.arrivals.Load() }

// CommitCounts returns the number of commits of each non-idempotent call, by
// idempotency key. A call with more than one commit has run more than once.
func (t *Target) CommitCounts() map[call.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[call.Key]int, len(t.commits))
	for k, v := range t.commits {
		out[k] = v
	}
	return out
}

func (t *Target) handleOperation(w http.ResponseWriter, req *http.Request) {
	t.arrivals.Add(1)
	op := t.service.Operations[req.PathValue("operation")]
	if op == nil {
		http.Error(w, "unknown operation", http.StatusNotFound)
		return
	}
	if t.draining.Load() {
		w.Header().Set(call.HeaderLeaving, "true")
		notRun(w, "target draining", "1")
		return
	}
	if t.refusing.Load() {
		notRun(w, "target rejecting", "")
		return
	}
	var r call.Request
	call.ReadHeaders(req.Header, &r)
	ctx := req.Context()
	if r.Remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Remaining)
		defer cancel()
	}
	select {
	case t.slots <- struct{}{}:
	case <-ctx.Done():
		notRun(w, "no slot before the deadline", "1")
		return
	}
	defer func() { <-t.slots }()
	t.inflight.Add(1)
	defer t.inflight.Add(-1)
	body, status, retryAfter := t.run(ctx, req.Header, r, op)
	switch status {
	case call.OK:
		w.Write(body)
	case call.NotRun:
		notRun(w, string(body), retryAfter)
	default:
		http.Error(w, string(body), http.StatusInternalServerError)
	}
}

// run executes the operation: it calls the dependencies in order, waits for the
// service time and commits. It returns NotRun, with the Retry-After value of the
// dependency, only if the first dependency refused the call, because nothing
// has run then.
func (t *Target) run(ctx context.Context, header http.Header, r call.Request, op *callgraph.Operation) ([]byte, call.Status, string) {
	for t.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	var out bytes.Buffer
	out.WriteString(t.cfg.Service + "." + op.Name + "(" + string(r.ID) + ")")
	for i, ref := range op.Calls {
		body, st, retryAfter := t.callDependency(ctx, header, ref, r, priorCalls(op.Calls, i))
		if st != call.OK {
			if i == 0 && st == call.NotRun {
				return body, call.NotRun, retryAfter
			}
			return []byte(ref.String() + ": " + string(st)), call.Failed, ""
		}
		out.WriteString(" <" + string(body) + ">")
	}
	serviceTime := time.Duration(float64(op.ServiceTime) * float64(t.serviceTimePercent.Load()) / 100)
	if time.Since(t.started) < t.cfg.ColdStart {
		serviceTime *= 3
	}
	select {
	case <-time.After(serviceTime):
	case <-ctx.Done():
		return []byte("cancelled"), call.Failed, ""
	}
	if !op.Idempotent {
		t.mu.Lock()
		t.commits[r.Key]++
		t.mu.Unlock()
	}
	return out.Bytes(), call.OK, ""
}

// priorCalls returns the number of calls before index i to the same operation.
func priorCalls(calls []callgraph.Ref, i int) int {
	n := 0
	for _, c := range calls[:i] {
		if c == calls[i] {
			n++
		}
	}
	return n
}

// callDependency calls ref through the local node and propagates the request's
// metadata. The idempotency key is derived from the caller's; occurrence tells
// repeated calls to the same operation apart.
func (t *Target) callDependency(ctx context.Context, header http.Header, ref callgraph.Ref, r call.Request, occurrence int) ([]byte, call.Status, string) {
	url := t.cfg.NodeURL + "/v1/call/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return []byte(err.Error()), call.NotRun, ""
	}
	depReq := r
	if r.Key != "" {
		depReq.Key = r.Key + "/" + call.Key(ref.String())
		if occurrence > 0 {
			depReq.Key += call.Key("." + strconv.Itoa(occurrence))
		}
	}
	if dl, ok := ctx.Deadline(); ok {
		depReq.Remaining = time.Until(dl)
	}
	call.WriteHeaders(req.Header, depReq)
	req.Header.Set(call.HeaderHop, header.Get(call.HeaderHop))
	resp, err := t.client.Do(req)
	if err != nil {
		return []byte(err.Error()), call.Unknown, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return []byte(err.Error()), call.Unknown, ""
	}
	return body, call.Status(resp.Header.Get(call.HeaderStatus)), resp.Header.Get("Retry-After")
}

// notRun refuses a call of which nothing has run. retryAfter is the Retry-After
// value in seconds; if empty, the header is left out.
func notRun(w http.ResponseWriter, reason, retryAfter string) {
	w.Header().Set(call.HeaderStatus, string(call.NotRun))
	w.Header().Set(call.HeaderReason, reason)
	if retryAfter != "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
