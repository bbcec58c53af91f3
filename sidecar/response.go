package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
)

// writeAnswer writes the target's response unchanged, or an error response
// that states whether the request may have been executed.
func (n *Node) writeAnswer(w http.ResponseWriter, q *request, a call.Answer) {
	if a.HTTP != nil && (a.Status == call.OK || a.Status == call.Failed) {
		h := w.Header()
		for _, f := range a.HTTP.Header {
			h.Add(f.Name, f.Value)
		}
		if h.Get("Content-Type") == "" {
			h["Content-Type"] = nil // keeps net/http from guessing one
		}
		if a.HTTP.Code != http.StatusNoContent && a.HTTP.Code != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		}
		w.WriteHeader(a.HTTP.Code)
		if _, err := w.Write(a.Body); err != nil {
			n.decisions.Log("answer_not_taken", func() log.Fields { return log.Fields{"id": q.ID, "error": err.Error()} })
		}
		return
	}
	code := http.StatusBadGateway
	switch {
	case a.Status == call.NotRun:
		code = http.StatusServiceUnavailable
	case time.Until(q.deadline) <= 2*peerMargin:
		// The deadline passed here or, by peerMargin earlier, at the peer.
		code = http.StatusGatewayTimeout
	}
	n.decisions.Log("request_ended", func() log.Fields {
		return log.Fields{"id": q.ID, "route": q.route.Name, "service": q.Service, "status": a.Status, "code": code, "why": a.Reason,
			"begun": q.HTTP.Child, "took_ms": time.Since(q.received).Milliseconds(), "come_back_ms": a.RetryAfter.Milliseconds(), "routes": n.routesVersion(), "route_version": q.version}
	})
	writeError(w, n.cfg.Headers, q.ID, code, a.RetryAfter, a.Reason)
}

// writeError writes an error response of the node itself.
func writeError(w http.ResponseWriter, headers call.Headers, id call.RequestID, code int, retryAfter time.Duration, reason string) {
	h := w.Header()
	if id != "" {
		h.Set(headers.RequestID, string(id))
	}
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, reason, code)
}
