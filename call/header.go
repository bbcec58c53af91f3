package call

import (
	"net/http"
	"strconv"
	"time"
)

// HTTP headers that carry a Request's metadata between a target and its node.
// Targets copy them from the call they serve to the calls they make.
const (
	HeaderRequestID      = "Oatpin-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Oatpin-Timeout-Ms"
	HeaderRetryBudget    = "Oatpin-Retry-Budget"
	HeaderStatus         = "Oatpin-Status"
	HeaderRetriesUsed    = "Oatpin-Retries-Used"
	HeaderReason         = "Oatpin-Reason"
	// HeaderLeaving marks a refusal by a target that is draining and accepts no
	// more calls.
	HeaderLeaving = "Oatpin-Leaving"
	// HeaderHop identifies the retry budget of a call. A node sends it to its
	// target, which sends it back on its outbound calls.
	HeaderHop = "Oatpin-Hop"
)

// WriteHeaders sets the headers for r's metadata in h.
func WriteHeaders(h http.Header, r Request) {
	h.Set(HeaderRequestID, string(r.ID))
	if r.Key != "" {
		h.Set(HeaderIdempotencyKey, string(r.Key))
	}
	h.Set(HeaderTimeout, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	h.Set(HeaderRetryBudget, strconv.Itoa(r.RetryBudget))
}

// ReadHeaders sets r's metadata from h. A field whose header is missing or
// malformed is left unchanged.
func ReadHeaders(h http.Header, r *Request) {
	if v := h.Get(HeaderRequestID); v != "" {
		r.ID = RequestID(v)
	}
	if v := h.Get(HeaderIdempotencyKey); v != "" {
		r.Key = Key(v)
	}
	if ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64); err == nil {
		r.Remaining = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get(HeaderRetryBudget)); err == nil {
		r.RetryBudget = n
	}
}

// HTTPCode returns the HTTP status code sent to the caller.
func (s Status) HTTPCode() int {
	switch s {
	case OK:
		return http.StatusOK
	case NotRun:
		return http.StatusServiceUnavailable
	case Failed:
		return http.StatusBadGateway
	}
	return http.StatusGatewayTimeout
}
