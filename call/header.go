package call

import (
	"net/http"
	"strconv"
	"time"
)

// HTTP header names that carry a Request's metadata between a target and its
// node. Targets copy them from the call they serve to the calls they make.
const (
	HeaderRequestID = "Oatpin-Request-Id"
	HeaderKey       = "Idempotency-Key"
	HeaderTimeout   = "Oatpin-Timeout-Ms"
	HeaderBudget    = "Oatpin-Retry-Budget"
	HeaderStatus    = "Oatpin-Status"
	HeaderRetries   = "Oatpin-Retries-Used"
	HeaderReason    = "Oatpin-Reason"
	// HeaderLeaving marks the refusal of a target that takes no new calls
	// for good.
	HeaderLeaving = "Oatpin-Leaving"
	// HeaderHop carries the budget hop of a call from a node to its target
	// and back on the target's outbound calls.
	HeaderHop = "Oatpin-Hop"
)

// WriteHeaders sets r's metadata on h.
func WriteHeaders(h http.Header, r Request) {
	h.Set(HeaderRequestID, string(r.ID))
	if r.Key != "" {
		h.Set(HeaderKey, string(r.Key))
	}
	h.Set(HeaderTimeout, strconv.FormatInt(r.Remaining.Milliseconds(), 10))
	h.Set(HeaderBudget, strconv.Itoa(r.Budget))
}

// ReadHeaders fills r's metadata from h; a missing or malformed timeout or
// budget leaves the field as it was.
func ReadHeaders(h http.Header, r *Request) {
	if v := h.Get(HeaderRequestID); v != "" {
		r.ID = RequestID(v)
	}
	if v := h.Get(HeaderKey); v != "" {
		r.Key = Key(v)
	}
	if ms, err := strconv.ParseInt(h.Get(HeaderTimeout), 10, 64); err == nil {
		r.Remaining = time.Duration(ms) * time.Millisecond
	}
	if n, err := strconv.Atoi(h.Get(HeaderBudget)); err == nil {
		r.Budget = n
	}
}

// HTTPCode maps a status to the HTTP code a caller sees.
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
