package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// minSuccessRate is the success rate below which most requests of a
	// route are refused at entry. Below it, almost all admitted requests run
	// partially and fail. A non-idempotent request that failed must not be
	// retried, whereas one refused at entry may be.
	minSuccessRate = 1.0 / 8
	// probeLevels is how many levels are still admitted on a failing route,
	// to detect its recovery.
	probeLevels = LevelsPerRank / 4
	// successSmoothing is the weight of the newest outcome in the success rate. It
	// averages some sixteen requests, half a second of a busy route on one node.
	successSmoothing = 1.0 / 16
	// outcomeTTL is how long the success rate is valid after the last
	// outcome.
	outcomeTTL = 2 * time.Second
)

// SuccessRateLimiter keeps the success rate of the admitted requests of each
// route. It limits routes that fail for reasons other than load: a request
// that needs eight calls to a service that fails half of them succeeds once
// in 256 times, however much capacity there is. It is safe for concurrent
// use.
type SuccessRateLimiter struct {
	next Admission

	mu     sync.Mutex
	routes map[string]routeOutcomes
}

// routeOutcomes is a route's success rate and when it was last updated.
type routeOutcomes struct {
	rank        int // highest rank of its requests, used for probes
	successRate float64
	updated     time.Time
}

// stale reports whether the success rate has expired. The zero value is
// stale.
func (r routeOutcomes) stale(now time.Time) bool { return now.Sub(r.updated) > outcomeTTL }

// NewSuccessRateLimiter returns a SuccessRateLimiter that further limits the
// thresholds of next.
func NewSuccessRateLimiter(next Admission) *SuccessRateLimiter {
	return &SuccessRateLimiter{next: next, routes: map[string]routeOutcomes{}}
}

// RecordOutcome records the outcome of an admitted request on a route.
func (l *SuccessRateLimiter) RecordOutcome(route string, priority int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	r := l.routes[route]
	if r.stale(now) {
		r.successRate, r.rank = 1, maxRank
	}
	outcome := 0.0
	if ok {
		outcome = 1
	}
	r.successRate += (outcome - r.successRate) * successSmoothing
	r.rank, r.updated = min(r.rank, rank(priority)), now
	l.routes[route] = r
}

// Threshold implements Admission. On a route with a low success rate it
// admits only probes.
func (l *SuccessRateLimiter) Threshold(route string) call.Level {
	threshold := l.next.Threshold(route)
	l.mu.Lock()
	r := l.routes[route]
	l.mu.Unlock()
	if r.stale(time.Now()) || r.successRate >= minSuccessRate {
		return threshold
	}
	return min(threshold, call.Level(r.rank*LevelsPerRank+probeLevels-1))
}
