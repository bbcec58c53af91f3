package budget

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets of a RetryWindow, which sets the
	// resolution of its sums to a tenth of its span.
	windowBuckets = 10
	// callLevels is the depth of call chains whose retries add up at the last
	// service.
	callLevels = 4
)

// NodeRatio returns the Ratio of each node with which the retries at every service
// stay within a share of its requests.
func NodeRatio(share float64) float64 { return share / callLevels }

type (
	// RetryWindowConfig configures a RetryWindow.
	RetryWindowConfig struct {
		Span       time.Duration // length of the sliding window
		Ratio      float64       // retries allowed per first try
		MinRetries float64       // retries allowed in addition, also without first tries
		// SharedRetries bounds MinRetries over all nodes together; 0 for no bound.
		SharedRetries float64
	}

	// RetryWindow limits the retries that one node sends to one service over a
	// sliding window, in proportion to the first tries that it sent. As each
	// node limits its own retries, the limit holds for all nodes without
	// coordination. It is safe for concurrent use.
	RetryWindow struct {
		cfg RetryWindowConfig
		// start keeps its reading of the monotonic clock: a change of the wall clock would
		// empty the window, and with it the count of retries.
		start time.Time

		mu      sync.Mutex
		nodes   int // as set by SetNodeCount; 0 if unknown
		buckets [windowBuckets]bucket
	}

	bucket struct {
		index      int64 // time since start in units of the bucket length
		firstTries float64
		retries    float64
	}
)

// NewRetryWindow returns an empty RetryWindow.
func NewRetryWindow(cfg RetryWindowConfig) *RetryWindow {
	return &RetryWindow{cfg: cfg, start: time.Now()}
}

// SetNodeCount sets the number of nodes that share the budget.
func (w *RetryWindow) SetNodeCount(nodes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = nodes
}

// CountFirstTry counts a first try.
func (w *RetryWindow) CountFirstTry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current().firstTries++
}

// CountInheritedRetry counts a request made while processing a retry. It
// counts as a retry, reducing the room for others, but is never refused,
// since that would waste the work already done.
func (w *RetryWindow) CountInheritedRetry() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.current().retries++
}

// TryRetry reports whether a retry is allowed and counts it if so.
func (w *RetryWindow) TryRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	cur := w.current()
	if !w.allowed(cur) {
		return false
	}
	cur.retries++
	return true
}

// CanRetry reports whether a retry would be allowed now.
func (w *RetryWindow) CanRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allowed(w.current())
}

func (w *RetryWindow) allowed(cur *bucket) bool {
	var firstTries, retries float64
	for _, p := range w.buckets {
		if cur.index-p.index < windowBuckets {
			firstTries += p.firstTries
			retries += p.retries
		}
	}
	return retries+1 <= w.cfg.Ratio*firstTries+w.minRetries()
}

// minRetries returns the retries allowed without first tries.
func (w *RetryWindow) minRetries() float64 {
	if w.cfg.SharedRetries <= 0 || w.nodes == 0 {
		return w.cfg.MinRetries
	}
	return min(w.cfg.MinRetries, w.cfg.SharedRetries/float64(w.nodes))
}

// current returns the bucket of the current time, cleared if it held an
// earlier one.
func (w *RetryWindow) current() *bucket {
	n := int64(time.Since(w.start) / (w.cfg.Span / windowBuckets))
	p := &w.buckets[n%windowBuckets]
	if p.index != n {
		*p = bucket{index: n}
	}
	return p
}
