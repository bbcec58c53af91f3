package sidecar

import (
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/oatpin/oatpin/memory"
)

// defaultBodyLimit is the maximum body size in bytes if the routes set none.
const defaultBodyLimit = 1 << 20

// readBody reads the request body, bounded by limit, by the memory for all
// bodies and by deadline, so that a slow or stalled caller cannot hold its
// connection any longer. The caller must release the buffer.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (memory.Buffer, *refusal) {
	body := memory.NewBuffer(&n.held)
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return body, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	ctrl := http.NewResponseController(w)
	if err := ctrl.SetReadDeadline(deadline); err != nil {
		n.log.WithError(err).Warn("body_unbounded_in_time")
	}
	err := body.ReadAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrNoMemory):
		return body, &refusal{code: http.StatusServiceUnavailable, cause: causeBody, retryAfter: retryAfterUnavailable, reason: err.Error()}
	case errors.As(err, &tooLarge):
		return body, &refusal{code: http.StatusRequestEntityTooLarge, cause: causeBody, reason: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return body, &refusal{code: http.StatusRequestTimeout, cause: causeBody, reason: "body was not sent in time"}
	case err != nil:
		return body, &refusal{code: http.StatusBadRequest, cause: causeBody, reason: "body: " + err.Error()}
	}
	if err := ctrl.SetReadDeadline(time.Time{}); err != nil {
		n.log.WithError(err).Warn("read_deadline_kept")
	}
	return body, nil
}
