package sidecar

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// defaultBodyLimit is the maximum body size in bytes if the routes set
	// none.
	defaultBodyLimit = 1 << 20
	// maxInitialBuffer caps the buffer allocated from Content-Length alone,
	// which a caller may overstate.
	maxInitialBuffer = 64 << 10
)

// readBody reads the request body, bounded by limit, by the memory for all
// bodies and by deadline, so that a slow or stalled caller cannot hold its
// connection any longer.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, *refusal) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if maxTotal := n.tuning.Load().MaxHeldBodyBytes; maxTotal > 0 && n.heldBodyBytes.Load()+max(r.ContentLength, 0) > maxTotal {
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeBody, retryAfter: retryAfterUnavailable, reason: "no memory for the body"}
	}
	ctrl := http.NewResponseController(w)
	if err := ctrl.SetReadDeadline(deadline); err != nil {
		n.log.WithError(err).Warn("body_unbounded_in_time")
	}
	var buf bytes.Buffer
	buf.Grow(int(min(max(r.ContentLength, 0), limit, maxInitialBuffer)))
	_, err := io.Copy(&buf, http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{code: http.StatusRequestEntityTooLarge, cause: causeBody, reason: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{code: http.StatusRequestTimeout, cause: causeBody, reason: "body was not sent in time"}
	case err != nil:
		return nil, &refusal{code: http.StatusBadRequest, cause: causeBody, reason: "body: " + err.Error()}
	}
	if err := ctrl.SetReadDeadline(time.Time{}); err != nil {
		n.log.WithError(err).Warn("read_deadline_kept")
	}
	n.heldBodyBytes.Add(int64(buf.Len()))
	return buf.Bytes(), nil
}
