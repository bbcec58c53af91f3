package sidecar

import (
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
)

// write gives a caller its answer: the target's own, unchanged, or one that
// says what is known of the request.
func (n *Node) write(w http.ResponseWriter, q *request, a call.Answer) {
	if a.HTTP != nil && (a.Status == call.OK || a.Status == call.Failed) {
		h := w.Header()
		for _, f := range a.HTTP.Header {
			h.Add(f.Name, f.Value)
		}
		if h.Get("Content-Type") == "" {
			h["Content-Type"] = nil // or net/http would guess one
		}
		if a.HTTP.Code != http.StatusNoContent && a.HTTP.Code != http.StatusNotModified {
			h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		}
		w.WriteHeader(a.HTTP.Code)
		if _, err := w.Write(a.Body); err != nil {
			n.note.Note("answer_not_taken", func() log.Fields { return log.Fields{"id": q.ID, "error": err.Error()} })
		}
		return
	}
	code := http.StatusBadGateway
	switch {
	case a.Status == call.NotRun:
		code = http.StatusServiceUnavailable
	case time.Until(q.deadline) <= 2*peerMargin:
		// Its time ended here or, a little earlier, beside its instance.
		code = http.StatusGatewayTimeout
	}
	n.note.Note("request_ended", func() log.Fields {
		return log.Fields{"id": q.ID, "route": q.route.Name, "service": q.Service, "status": a.Status, "code": code, "why": a.Reason,
			"begun": q.HTTP.Begun, "took_ms": time.Since(q.entered).Milliseconds(), "come_back_ms": a.RetryAfter.Milliseconds(), "routes": n.version()}
	})
	writeOwn(w, n.cfg.Headers, q.ID, code, a.RetryAfter, a.Reason)
}

// writeOwn writes an answer of the node's own.
func writeOwn(w http.ResponseWriter, names call.Headers, id call.RequestID, code int, after time.Duration, why string) {
	h := w.Header()
	if id != "" {
		h.Set(names.RequestID, string(id))
	}
	if after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	http.Error(w, why, code)
}
