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
	// expectedAge before it counts as a slowdown. For the mean of n requests
	// it is divided by the square root of n.
	ageNoiseMargin = 2.2
	// slowdownTTL is how long a computed slowdown is cached.
	slowdownTTL = 10 * time.Millisecond
)

type (
	// Pace estimates the current slowdown of a target from the age of its
	// in-flight requests. Unlike a mean of completed requests, it shows a
	// sudden slowdown before any slow request completes. Time that requests
	// spend in outbound calls is excluded. It is safe for concurrent use.
	Pace struct {
		mu           sync.Mutex
		meanOwnTime  map[string]time.Duration // mean service time without outbound calls, by kind
		meanCallTime map[string]time.Duration // mean time in outbound calls, by kind
		running      map[*Run]struct{}
		lastSlowdown float64 // cached since computedAt
		computedAt   time.Time
	}

	// Run is one in-flight request at the target.
	Run struct {
		pace         *Pace
		kind         string
		start        time.Time
		pendingCalls int       // outbound calls in flight
		callsStart   time.Time // when the first of them began
		callTime     time.Duration
	}
)

// NewPace returns a Pace without any samples.
func NewPace() *Pace {
	return &Pace{meanOwnTime: map[string]time.Duration{}, meanCallTime: map[string]time.Duration{}, running: map[*Run]struct{}{}, lastSlowdown: 1}
}

// Begin records that the target starts processing a request.
func (p *Pace) Begin(kind string) *Run {
	r := &Run{pace: p, kind: kind, start: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[r] = struct{}{}
	return r
}

// Call records that the request starts an outbound call.
func (r *Run) Call() {
	r.pace.mu.Lock()
	defer r.pace.mu.Unlock()
	if r.pendingCalls == 0 {
		r.callsStart = time.Now()
	}
	r.pendingCalls++
}

// Return records that an outbound call of the request ended.
func (r *Run) Return() {
	r.pace.mu.Lock()
	defer r.pace.mu.Unlock()
	if r.pendingCalls--; r.pendingCalls == 0 {
		r.callTime += time.Since(r.callsStart)
	}
}

// End records that the request ended. Its service time is sampled only if
// completed is true.
func (r *Run) End(completed bool) {
	p := r.pace
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, r)
	if !completed {
		return
	}
	now := time.Now()
	own := r.ownTime(now)
	updateMean(p.meanOwnTime, r.kind, own)
	updateMean(p.meanCallTime, r.kind, now.Sub(r.start)-own)
}

// ownTime returns the time since the start of the request without the time
// in outbound calls.
func (r *Run) ownTime(now time.Time) time.Duration {
	d := now.Sub(r.start) - r.callTime
	if r.pendingCalls > 0 {
		d -= now.Sub(r.callsStart)
	}
	return d
}

// Slow returns the current service time of the target relative to its mean,
// or 1 if the difference is not significant.
func (p *Pace) Slow() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowdown(time.Now())
}

func (p *Pace) slowdown(now time.Time) float64 {
	if now.Sub(p.computedAt) < slowdownTTL {
		return p.lastSlowdown
	}
	n, sum := 0.0, 0.0
	for r := range p.running {
		if mean := p.meanOwnTime[r.kind]; mean > 0 {
			n++
			sum += float64(r.ownTime(now)) / float64(mean)
		}
	}
	p.lastSlowdown, p.computedAt = 1, now
	if n > 0 && sum/n > expectedAge+ageNoiseMargin/math.Sqrt(n) {
		p.lastSlowdown = sum / n / expectedAge
	}
	return p.lastSlowdown
}

// Needs returns the expected service time of a request at the current
// slowdown, including its outbound calls, or 0 if unknown.
func (p *Pace) Needs(kind string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.meanOwnTime[kind])*p.slowdown(time.Now())) + p.meanCallTime[kind]
}

// Reset discards all samples of service times, for a target that has been
// replaced.
func (p *Pace) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.meanOwnTime, p.meanCallTime, p.lastSlowdown = map[string]time.Duration{}, map[string]time.Duration{}, 1
}

func updateMean(means map[string]time.Duration, kind string, d time.Duration) {
	m, ok := means[kind]
	if !ok {
		m = d
	}
	means[kind] = m + time.Duration(float64(d-m)*smoothing)
}
