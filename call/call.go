package call

import (
	"time"
)

// Class says how a call ranks when a target sheds load.
type Class string

// Status is the outcome of one call as its caller learns it.
type Status string

// RequestID names one caller's request across all the hops it crosses.
type RequestID string

const (
	// Critical calls (approvals, publications, find logs, trackable awards,
	// badge transfers) are refused only after every sheddable call is.
	Critical Class = "critical"
	// Sheddable calls (browsing and ranking reads) are refused first.
	Sheddable Class = "sheddable"
)

const (
	// OK means the call ran and Body is its whole answer.
	OK Status = "ok"
	// NotRun means no part of the call ran anywhere; it is safe to send again
	// after RetryAfter.
	NotRun Status = "not_run"
	// Failed means the call ran and its target answered with an error.
	Failed Status = "failed"
	// Unknown means the call may have run, in part or whole; a caller must
	// not send a non-idempotent call again.
	Unknown Status = "unknown"
)

// Request is one call as it crosses a hop, caller to node or node to node.
// Between nodes its fields go by their place, without their names, which saves
// 84 of 238 bytes that a call adds to its body, and 37 of 121 that an answer
// adds (BenchmarkFrameSize); new fields come last.
type Request struct {
	_msgpack  struct{}      `msgpack:",as_array"`
	ID        RequestID     `msgpack:"id"`
	Service   string        `msgpack:"service"`
	Operation string        `msgpack:"operation"`
	Key       Key           `msgpack:"key,omitempty"`
	Remaining time.Duration `msgpack:"remaining"`        // time left to the deadline when sent
	To        string        `msgpack:"to,omitempty"`     // instance it is meant for; empty for any
	Sent      time.Time     `msgpack:"sent"`             // when it was sent, by the sender's clock
	Budget    int           `msgpack:"budget"`           // retries the whole request may still spend
	Passed    []string      `msgpack:"passed,omitempty"` // instances that declined this key
	Body      []byte        `msgpack:"body,omitempty"`
	// HTTP is set for a request that goes by a route of host and path; it
	// has no Operation.
	HTTP *HTTPRequest `msgpack:"http,omitempty"`
	// Yields says that the sender would rather end the call as unknown and
	// make it elsewhere than wait for a peer that has gone silent.
	Yields bool `msgpack:"-"`
}

// Answer is what comes back for a Request; its fields go by their place too.
type Answer struct {
	_msgpack    struct{}      `msgpack:",as_array"`
	ID          RequestID     `msgpack:"id"`
	Status      Status        `msgpack:"status"`
	Reason      string        `msgpack:"reason,omitempty"`
	RetryAfter  time.Duration `msgpack:"retry_after,omitempty"`
	RetriesUsed int           `msgpack:"retries_used"` // retries spent below this hop
	Leaving     bool          `msgpack:"leaving,omitempty"`
	Declined    bool          `msgpack:"declined,omitempty"` // this instance has not run the key and never will
	Body        []byte        `msgpack:"body,omitempty"`
	HTTP        *HTTPAnswer   `msgpack:"http,omitempty"`    // what the target answered to a request with HTTP
	Reached     bool          `msgpack:"reached,omitempty"` // the request was handed to a target
	Load        *Load         `msgpack:"load,omitempty"`
	Ended       *End          `msgpack:"ended,omitempty"` // the instance ended while the request was in progress
	Held        bool          `msgpack:"held,omitempty"`  // not run, and not to be sent to another instance either
	News        []byte        `msgpack:"news,omitempty"`  // what a node tells besides in its answer to another's question
}

// End is the end of an instance that ran a request.
type End struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       uint64   // drawn by the node beside the instance; the same for all requests in progress there
	Alone    bool     // the request was the only one there that instances had ended under before
}

// Refuse returns a NotRun answer for r that tells the caller when to come back.
func Refuse(r Request, reason string, after time.Duration) Answer {
	return Answer{ID: r.ID, Status: NotRun, Reason: reason, RetryAfter: after}
}
