package inbound

import (
	"fmt"
	"net/http"
)

// Why a head was refused.
const (
	TooLarge Cause = "too_large" // over the limit: 431
	TooSlow  Cause = "too_slow"  // not ended in time: 408
	NoMemory Cause = "no_memory" // no room beside other heads: 503
	Evicted  Cause = "evicted"   // unfinished, and closed for a smaller one
)

// noMemoryRetryAfter is the Retry-After of a request whose head found no memory, in
// seconds.
const noMemoryRetryAfter = "1"

// Cause says why a head was refused.
type Cause string

// answer returns the answer to a client whose head was refused.
func (c Cause) answer() string {
	code, field := http.StatusRequestHeaderFieldsTooLarge, ""
	switch c {
	case TooSlow:
		code = http.StatusRequestTimeout
	case NoMemory:
		code, field = http.StatusServiceUnavailable, "Retry-After: "+noMemoryRetryAfter+"\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", code, http.StatusText(code), field)
}
