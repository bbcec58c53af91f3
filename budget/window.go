package budget

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets of a Window, which sets the
// resolution of its sums to a tenth of its span.
const windowBuckets = 10

type (
	// WindowConfig configures a Window.
	WindowConfig struct {
		Span  time.Duration // length of the sliding window
		Ratio float64       // retries allowed per first try
		Slack float64       // retries allowed in addition
	}

	// Window limits the retries that one node sends to one service over a
	// sliding window, in proportion to the first tries that it sent. As each
	// node limits its own retries, the limit holds for all nodes without
	// coordination. It is safe for concurrent use.
	Window struct {
		cfg WindowConfig

		mu      sync.Mutex
		buckets [windowBuckets]bucket
	}

	bucket struct {
		index      int64 // time since the Unix epoch in units of the bucket length
		firstTries float64
		retries    float64
	}
)

// NewWindow returns an empty Window.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

// First counts a first try.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current().firstTries++
}

// Inherit counts a request made while processing a retry. It counts as a
// retry, reducing the room for others, but is never refused, since that
// would waste the work already done.
func (w *Window) Inherit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current().retries++
}

// Repeat reports whether a retry is allowed and counts it if so.
func (w *Window) Repeat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cur := w.current()
	if !w.allowed(cur) {
		return false
	}
	cur.retries++
	return true
}

// Room reports whether a retry would be allowed now.
func (w *Window) Room() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowed(w.current())
}

func (w *Window) allowed(cur *bucket) bool {
	var firstTries, retries float64
	for _, p := range w.buckets {
		if cur.index-p.index < windowBuckets {
			firstTries += p.firstTries
			retries += p.retries
		}
	}
	return retries+1 <= w.cfg.Ratio*firstTries+w.cfg.Slack
}

// current returns the bucket of the current time, cleared if it held an
// earlier one.
func (w *Window) current() *bucket {
	n := time.Now().UnixNano() / int64(w.cfg.Span/windowBuckets)
	p := &w.buckets[n%windowBuckets]
	if p.index != n {
		*p = bucket{index: n}
	}
	return p
}
