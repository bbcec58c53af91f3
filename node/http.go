package node

import (
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
)

const (
	// headerRetryAfterMs carries the retry-after in milliseconds.
	headerRetryAfterMs = "Oatpin-Retry-After-Ms"
	maxBody            = 1 << 20
)

func (n *Node) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{service}/{operation}", n.handleCall)
	mux.HandleFunc("GET /v1/config", n.handleConfig)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { n.stats.set.WritePrometheus(w) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		if n.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// handleCall serves a call from a client (entry) or an outbound call of the
// local target, which carries the hop header. Idempotent entry calls for this
// node's service go to the local filter chain; all others are routed.
func (n *Node) handleCall(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBody))
	if err != nil {
		http.Error(w, "body: "+err.Error(), bodyErrorCode(err))
		return
	}
	r := call.Request{Service: req.PathValue("service"), Operation: req.PathValue("operation"), Body: body, RetryBudget: -1}
	call.ReadHeaders(req.Header, &r)
	g := n.graph.Load()
	if g == nil {
		writeAnswer(w, call.Refuse(r, "no configuration text in force yet", time.Second))
		return
	}
	op := g.Operation(callgraph.Ref{Service: r.Service, Operation: r.Operation})
	if op == nil {
		http.Error(w, ErrUnknownOperation.Error()+": "+r.Service+"."+r.Operation, http.StatusNotFound)
		return
	}
	hop := budget.Hop(req.Header.Get(call.HeaderHop))
	if hop == "" {
		n.entryCalls.Add(1)
		defer n.entryCalls.Add(-1)
		n.fillDefaults(&r, g, op)
		if n.leaving.Load() {
			writeAnswer(w, filter.RefuseLeaving(r))
			return
		}
	}
	if _, err := r.Key.Created(); err != nil && (r.Key != "" || !op.Idempotent) {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(call.HeaderIdempotencyKey, string(r.Key))
	var a call.Answer
	if hop == "" && op.Idempotent && r.Service == n.localService() {
		a = n.serveLocal(req.Context(), r)
	} else {
		a = n.forward(req.Context(), r, op, hop)
	}
	writeAnswer(w, a)
}

// bodyErrorCode returns 413 for a body over the size limit and 400 for other
// read errors.
func bodyErrorCode(err error) int {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}

// fillDefaults sets the request ID, deadline, retry budget and idempotency
// key that a client left out, and caps the deadline and budget at the
// configured values. Idempotent operations get a key too, so that a retry
// passes the same keys to the non-idempotent operations it calls.
func (n *Node) fillDefaults(r *call.Request, g *callgraph.Graph, op *callgraph.Operation) {
	if r.ID == "" {
		r.ID = call.RequestID(uuid.NewString())
	}
	if r.Remaining <= 0 || r.Remaining > op.Timeout {
		r.Remaining = op.Timeout
	}
	if r.RetryBudget < 0 || r.RetryBudget > g.RetryBudget {
		r.RetryBudget = g.RetryBudget
	}
	if r.Key == "" {
		r.Key = call.NewKey(string(n.cfg.Settings.DC))
	}
}

func (n *Node) localService() string {
	g := n.graph.Load()
	if g == nil {
		return ""
	}
	s, _, _ := g.Instance(n.cfg.Settings.Instance)
	if s == nil {
		return ""
	}
	return s.Name
}

// writeAnswer writes a to the client; refusals carry Retry-After headers.
func writeAnswer(w http.ResponseWriter, a call.Answer) {
	h := w.Header()
	h.Set(call.HeaderRequestID, string(a.ID))
	h.Set(call.HeaderStatus, string(a.Status))
	h.Set(call.HeaderRetriesUsed, strconv.Itoa(a.RetriesUsed))
	if a.Reason != "" {
		h.Set(call.HeaderReason, a.Reason)
	}
	if a.Status == call.NotRun {
		after := max(a.RetryAfter, filter.MinRetryAfter)
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
		h.Set(headerRetryAfterMs, strconv.FormatInt(after.Milliseconds(), 10))
	}
	w.WriteHeader(a.Status.HTTPCode())
	w.Write(a.Body)
}

// parseRetryAfter returns the retry-after of a refusal, or 0.
func parseRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.ParseInt(h.Get(headerRetryAfterMs), 10, 64); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		return time.Duration(s) * time.Second
	}
	return 0
}
