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

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"golang.org/x/net/netutil"
)

// leaveGrace is how long a leaving target goes on refusing new calls.
const leaveGrace = 2 * time.Second

type (
	// Config is what a Target is built from.
	Config struct {
		Service   string
		Graph     *callgraph.Graph
		Node      string        // base URL of the local node
		ColdStart time.Duration // time after start during which work is three times slower
		HealthLag time.Duration // how old GET /health's answer may be
		Client    *http.Client
	}

	// Target is one running stand-in back end.
	Target struct {
		cfg     Config
		service *callgraph.Service
		slots   chan struct{}
		health  lagging[Health]
		started time.Time
		client  *http.Client

		slow      atomic.Int64 // factor times 100
		paused    atomic.Bool
		draining  atomic.Bool
		rejecting atomic.Bool
		inflight  atomic.Int64
		arrivals  atomic.Int64

		mu      sync.Mutex
		effects map[call.Key]int // commits of non-idempotent actions by key
	}
)

// New builds a Target for cfg.Service of cfg.Graph.
func New(cfg Config) *Target {
	s := cfg.Graph.Services[cfg.Service]
	t := &Target{cfg: cfg, service: s, slots: make(chan struct{}, s.Slots), started: time.Now(), client: cfg.Client, effects: map[call.Key]int{}}
	if t.client == nil {
		t.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	}
	t.health.lag = cfg.HealthLag
	t.slow.Store(100)
	return t
}

// Limit returns l held to the connections the text gives the service.
func (t *Target) Limit(l net.Listener) net.Listener {
	if t.service.Connections <= 0 {
		return l
	}
	return netutil.LimitListener(l, t.service.Connections)
}

// Handler returns the target's HTTP API.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{operation}", t.handleOp)
	mux.HandleFunc("GET /health", t.handleHealth)
	mux.HandleFunc("POST /admin/slow", func(w http.ResponseWriter, r *http.Request) {
		f, _ := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		t.SetSlow(f)
	})
	mux.HandleFunc("POST /admin/pause", func(w http.ResponseWriter, r *http.Request) { t.paused.Store(r.URL.Query().Get("on") != "false") })
	mux.HandleFunc("POST /admin/drain", func(w http.ResponseWriter, r *http.Request) { t.Drain() })
	mux.HandleFunc("GET /admin/effects", func(w http.ResponseWriter, r *http.Request) {
		json.NewEncoder(w).Encode(t.Effects())
	})
	return mux
}

// SetSlow makes every operation take factor times its cost; 1 is normal.
func (t *Target) SetSlow(factor float64) {
	if factor <= 0 {
		factor = 1
	}
	t.slow.Store(int64(factor * 100))
}

// Drain makes the target refuse every new call as not run, asking callers
// to come back in a second.
func (t *Target) Drain() { t.draining.Store(true) }

// Leave drains the target and returns when its node has had time to be told
// so by a refusal: once the listener is closed it could only fail to dial.
func (t *Target) Leave() {
	t.Drain()
	time.Sleep(leaveGrace)
}

// Reject makes the target refuse every new call as not run with no
// come-back time, as a target that sheds without a hint does.
func (t *Target) Reject() { t.rejecting.Store(true) }

// Arrivals returns how many calls reached the target, refused ones included.
func (t *Target) Arrivals() int64 { return t.arrivals.Load() }

// Effects returns how often each non-idempotent action was committed.
func (t *Target) Effects() map[call.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[call.Key]int, len(t.effects))
	for k, v := range t.effects {
		out[k] = v
	}
	return out
}

func (t *Target) handleOp(w http.ResponseWriter, req *http.Request) {
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
	if t.rejecting.Load() {
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
	body, status, after := t.run(ctx, req.Header, r, op)
	switch status {
	case call.OK:
		w.Write(body)
	case call.NotRun:
		notRun(w, string(body), after)
	default:
		http.Error(w, string(body), http.StatusInternalServerError)
	}
}

// run does the operation's work: its calls in order, then its own service
// time, then the commit. It answers NotRun only while nothing has run, with
// the come-back time its refused dependency gave.
func (t *Target) run(ctx context.Context, h http.Header, r call.Request, op *callgraph.Operation) ([]byte, call.Status, string) {
	for t.paused.Load() {
		time.Sleep(10 * time.Millisecond)
	}
	var out bytes.Buffer
	out.WriteString(t.cfg.Service + "." + op.Name + "(" + string(r.ID) + ")")
	for i, ref := range op.Calls {
		body, st, after := t.callDependency(ctx, h, ref, r, callNumber(op.Calls, i))
		if st != call.OK {
			if i == 0 && st == call.NotRun {
				return body, call.NotRun, after
			}
			return []byte(ref.String() + ": " + string(st)), call.Failed, ""
		}
		out.WriteString(" <" + string(body) + ">")
	}
	cost := time.Duration(float64(op.Cost) * float64(t.slow.Load()) / 100)
	if time.Since(t.started) < t.cfg.ColdStart {
		cost *= 3
	}
	select {
	case <-time.After(cost):
	case <-ctx.Done():
		return []byte("cancelled"), call.Failed, ""
	}
	if !op.Idempotent {
		t.mu.Lock()
		t.effects[r.Key]++
		t.mu.Unlock()
	}
	return out.Bytes(), call.OK, ""
}

// callNumber returns how many of calls before i name the same operation.
func callNumber(calls []callgraph.Ref, i int) int {
	n := 0
	for _, c := range calls[:i] {
		if c == calls[i] {
			n++
		}
	}
	return n
}

// callDependency calls ref through the local node, passing on the request's
// metadata; each sub-action gets its own key derived from the caller's, with
// its number when the same operation is called again.
func (t *Target) callDependency(ctx context.Context, h http.Header, ref callgraph.Ref, r call.Request, number int) ([]byte, call.Status, string) {
	url := t.cfg.Node + "/v1/call/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return []byte(err.Error()), call.NotRun, ""
	}
	sub := r
	if r.Key != "" {
		sub.Key = r.Key + "/" + call.Key(ref.String())
		if number > 0 {
			sub.Key += call.Key("." + strconv.Itoa(number))
		}
	}
	if dl, ok := ctx.Deadline(); ok {
		sub.Remaining = time.Until(dl)
	}
	call.WriteHeaders(req.Header, sub)
	req.Header.Set(call.HeaderHop, h.Get(call.HeaderHop))
	resp, err := t.client.Do(req)
	if err != nil {
		return []byte(err.Error()), call.Unknown, ""
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return body, call.Status(resp.Header.Get(call.HeaderStatus)), resp.Header.Get("Retry-After")
}

// notRun refuses a call that ran nothing; after is the Retry-After value in
// seconds, or empty for none.
func notRun(w http.ResponseWriter, reason, after string) {
	w.Header().Set(call.HeaderStatus, string(call.NotRun))
	w.Header().Set(call.HeaderReason, reason)
	if after != "" {
		w.Header().Set("Retry-After", after)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
