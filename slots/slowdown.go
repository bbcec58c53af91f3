package slots

import (
	"math"
	"sync"
	"time"
)

const (
	// expectedAge is the mean age of in-flight requests as a fraction of
	// their mean service time. It is 0.5 for constant service times and
	// higher if they vary.
	expectedAge = 0.7
	// ageNoiseMargin is by how much the age of a single request may exceed
	// expectedAge before it counts as a slowdown. One in some thousands does by
	// chance. For the mean of n requests it is divided by the square root of n.
	ageNoiseMargin = 2.2
	// slowdownTTL is how long a computed slowdown is cached.
	slowdownTTL = 10 * time.Millisecond
)

type (
	// SlowdownEstimator estimates the current slowdown of a target from the
	// age of its in-flight requests. Unlike a mean of completed requests, it
	// shows a sudden slowdown before any slow request completes. Time that
	// requests spend in outbound calls is excluded. It is safe for
	// concurrent use.
	SlowdownEstimator struct {
		mu           sync.Mutex
		meanOwnTime  map[string]time.Duration // mean service time without outbound calls, by kind
		meanCallTime map[string]time.Duration // mean time in outbound calls, by kind
		running      map[*TrackedRequest]struct{}
		lastSlowdown float64 // cached since computedAt
		computedAt   time.Time
	}

	// TrackedRequest is one in-flight request at the target.
	TrackedRequest struct {
		estimator    *SlowdownEstimator
		kind         string
		start        time.Time
		pendingCalls int       // outbound calls in flight
		callsStart   time.Time // when the first of them began
		callTime     time.Duration
	}
)

// NewSlowdownEstimator returns a SlowdownEstimator without any samples.
func NewSlowdownEstimator() *SlowdownEstimator {
	return &SlowdownEstimator{meanOwnTime: map[string]time.Duration{}, meanCallTime: map[string]time.Duration{}, running: map[*TrackedRequest]struct{}{}, lastSlowdown: 1}
}

// Begin records that the target starts processing a request.
func (e *SlowdownEstimator) Begin(kind string) *TrackedRequest {
	r := &TrackedRequest{estimator: e, kind: kind, start: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[r] = struct{}{}
	return r
}

// BeginCall records that the request starts an outbound call.
func (r *TrackedRequest) BeginCall() {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	if r.pendingCalls == 0 {
		r.callsStart = time.Now()
	}
	r.pendingCalls++
}

// EndCall records that an outbound call of the request ended.
func (r *TrackedRequest) EndCall() {
	r.estimator.mu.Lock()
	defer r.estimator.mu.Unlock()
	if r.pendingCalls--; r.pendingCalls == 0 {
		r.callTime += time.Since(r.callsStart)
	}
}

// End records that the request ended. Its service time is sampled only if
// completed is true.
func (r *TrackedRequest) End(completed bool) {
	e := r.estimator
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ofPresentTarget := e.running[r]
	delete(e.running, r)
	if !completed || !ofPresentTarget {
		return
	}
	now := time.Now()
	own := r.ownTime(now)
	updateMean(e.meanOwnTime, r.kind, own)
	updateMean(e.meanCallTime, r.kind, now.Sub(r.start)-own)
}

// ownTime returns the time since the start of the request without the time
// in outbound calls.
func (r *TrackedRequest) ownTime(now time.Time) time.Duration {
	d := now.Sub(r.start) - r.callTime
	if r.pendingCalls > 0 {
		d -= now.Sub(r.callsStart)
	}
	return d
}

// Slowdown returns the current service time of the target relative to its
// mean, or 1 if the difference is not significant.
func (e *SlowdownEstimator) Slowdown() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.slowdownLocked(time.Now())
}

func (e *SlowdownEstimator) slowdownLocked(now time.Time) float64 {
	if now.Sub(e.computedAt) < slowdownTTL {
		return e.lastSlowdown
	}
	n, sum := 0.0, 0.0
	for r := range e.running {
		if mean := e.meanOwnTime[r.kind]; mean > 0 {
			n++
			sum += float64(r.ownTime(now)) / float64(mean)
		}
	}
	e.lastSlowdown, e.computedAt = 1, now
	if n > 0 && sum/n > expectedAge+ageNoiseMargin/math.Sqrt(n) {
		e.lastSlowdown = sum / n / expectedAge
	}
	return e.lastSlowdown
}

// ExpectedTime returns the expected service time of a request at the current
// slowdown, including its outbound calls, or 0 if unknown.
func (e *SlowdownEstimator) ExpectedTime(kind string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.meanOwnTime[kind])*e.slowdownLocked(time.Now())) + e.meanCallTime[kind]
}

// Reset discards all samples of service times, for a target that has been
// replaced. The requests in progress were sent to the one before, and count no
// more.
func (e *SlowdownEstimator) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.meanOwnTime, e.meanCallTime, e.lastSlowdown = map[string]time.Duration{}, map[string]time.Duration{}, 1
	clear(e.running)
}

func updateMean(means map[string]time.Duration, kind string, d time.Duration) {
	m, ok := means[kind]
	if !ok {
		m = d
	}
	means[kind] = m + time.Duration(float64(d-m)*smoothing)
}
