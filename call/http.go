package call

import (
	"time"
)

type (
	// Headers names the headers by which callers and targets exchange a
	// request's metadata, for targets that do not speak oatpin's own.
	Headers struct {
		RequestID        string
		Deadline         string // milliseconds the caller will still wait
		Signature        string // on each answer that a target made
		ExpectedInstance string // any other instance refuses the request unrun
		NotExecuted      string // on an answer to a request that the target did not run
		CallerService    string // service of the VM at which the request began
		Instance         string // on the answer of a health check: which instance gave it
		Key              string // API key of a client account, after KeyScheme and a space
		KeyScheme        string
		Account          string // to the target, in place of Key: who holds it
	}

	// Field is one header line.
	Field struct {
		_msgpack struct{} `msgpack:",as_array"`
		Name     string
		Value    string
	}

	// Level orders requests under overload: of two, the one with the smaller
	// level is served first and refused last. A request's calls have its
	// level.
	Level uint16

	// HTTPRequest is a caller's request as it came, for a target that is to
	// get it unchanged.
	HTTPRequest struct {
		_msgpack   struct{} `msgpack:",as_array"`
		Method     string
		Host       string
		URI        string // path and query as sent
		Header     []Field
		Caller     string // service of the VM at which the request began
		Level      Level
		Begun      bool // made by a request that already runs
		Repeat     bool // sent to a second instance, or called by such a request
		Idempotent bool
		// Patience is how long a new request may wait for its turn at a
		// target's node before it is refused.
		Patience time.Duration
	}

	// HTTPAnswer is what a target answered.
	HTTPAnswer struct {
		_msgpack struct{} `msgpack:",as_array"`
		Code     int
		Header   []Field
	}

	// Load is how busy a target is, as its node sees it.
	Load struct {
		_msgpack struct{} `msgpack:",as_array"`
		Busy     int      // requests the target works on
		Queued   int      // requests that wait for it at its node
		Limit    int      // requests it may work on at once
		Admit    Level    // up to which the target, and those it calls, can serve what comes
		Failing  float64  // part of its latest requests that the target failed, 0 to 1
		// Scarce is the slot time that the request took, with all its calls,
		// at targets that are short of room.
		Scarce time.Duration
		Slow   float64 // how many times longer the target takes than lately; 1 for as usual
		Binds  string  // service that Admit is the threshold of; empty if all is served
	}
)
