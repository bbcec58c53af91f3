package call

import (
	"time"
)

type (
	// Headers configures the names of the headers that carry a request's
	// metadata between callers, nodes and targets, for targets that do not use
	// the Header constants.
	Headers struct {
		RequestID        string
		Deadline         string // milliseconds until the caller's timeout
		Signature        string // set by the target on each of its answers
		ExpectedInstance string // any other instance refuses the request without running it
		NotExecuted      string // set by the target on an answer to a request that it did not run
		CallerService    string // service of the VM at which the request entered the mesh
		Instance         string // instance ID, on the answer to a health check
		APIKey           string // API key of a client account, after AuthScheme and a space
		AuthScheme       string // authentication scheme that precedes the API key
		Account          string // name of the client account, sent to the target instead of APIKey
		RateLimit        string // requests per second that the target takes from all callers together, on its answers while it limits them
		Leaving          string // on all answers of a target that takes no more new requests, with the value LeavingValue
		LeavingValue     string // any other value means nothing
	}

	// Field is a header field.
	Field struct {
		_msgpack struct{} `msgpack:",as_array"`
		Name     string
		Value    string
	}

	// Level is a request's priority under overload: lower levels are served
	// first and refused last. Child requests inherit it.
	Level uint16

	// HTTPRequest is a caller's HTTP request, which is forwarded to the target
	// unchanged.
	HTTPRequest struct {
		_msgpack   struct{} `msgpack:",as_array"`
		Method     string
		Host       string
		URI        string // path and query as sent
		Header     []Field
		Caller     string // service of the VM at which the request entered the mesh
		Level      Level
		Child      bool // child of a request that is already running
		Retry      bool // retried at another instance, or child of such a request
		Idempotent bool
		// MaxQueueWait limits the time that a new request waits in the queue of
		// the target's node before it is refused; 0 means no limit but the
		// deadline.
		MaxQueueWait time.Duration
	}

	// HTTPAnswer is a target's HTTP response without the body.
	HTTPAnswer struct {
		_msgpack struct{} `msgpack:",as_array"`
		Code     int
		Header   []Field
	}

	// Load is a node's report of the load of its target.
	Load struct {
		_msgpack    struct{} `msgpack:",as_array"`
		InFlight    int      // requests in progress at the target
		Queued      int      // requests queued at the node
		Limit       int      // concurrency limit of the target
		Threshold   Level    // admission threshold: highest level that the target and its dependencies can serve
		FailureRate float64  // fraction of the target's recent requests that failed, 0 to 1
		// OverloadSlotTime is the slot time that the request and its child
		// requests used at overloaded targets.
		OverloadSlotTime time.Duration
		Slowdown         float64 // current service time relative to the recent average; 1 means unchanged
		Bottleneck       string  // service that Threshold belongs to; empty if all levels are admitted
	}
)
