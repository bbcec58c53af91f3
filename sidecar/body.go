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
	// bodyDefault bounds one body until an operator's limit is known.
	bodyDefault = 1 << 20
	// onePiece bounds the memory that is taken for a body before it is there:
	// a caller may promise more than it sends.
	onePiece = 64 << 10
)

// readBody reads a whole body within the operator's limit, the memory for all
// bodies and the request's time: a caller that sends slowly, or stops, holds
// its connection no longer than that.
func (n *Node) readBody(w http.ResponseWriter, r *http.Request, limit int64, until time.Time) ([]byte, *refusal) {
	if r.ContentLength == 0 || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = bodyDefault
	}
	if most := n.tuning.Load().BodyBytes; most > 0 && n.bodies.Load()+max(r.ContentLength, 0) > most {
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeBody, after: comeBackLeaving, why: "no memory for the body"}
	}
	conn := http.NewResponseController(w)
	if err := conn.SetReadDeadline(until); err != nil {
		n.log.WithError(err).Warn("body_unbounded_in_time")
	}
	var buf bytes.Buffer
	buf.Grow(int(min(max(r.ContentLength, 0), limit, onePiece)))
	_, err := io.Copy(&buf, http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &refusal{code: http.StatusRequestEntityTooLarge, cause: causeBody, why: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, &refusal{code: http.StatusRequestTimeout, cause: causeBody, why: "body was not sent in time"}
	case err != nil:
		return nil, &refusal{code: http.StatusBadRequest, cause: causeBody, why: "body: " + err.Error()}
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		n.log.WithError(err).Warn("read_deadline_kept")
	}
	n.bodies.Add(int64(buf.Len()))
	return buf.Bytes(), nil
}
