package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// staleAfter is the age from which a threshold that no response has
	// confirmed starts to rise again.
	staleAfter = 300 * time.Millisecond
	// recoveryRate is how fast a stale threshold rises, in levels per
	// second. When a whole rank is refused, no response can report that
	// there is capacity again, so some requests must be let through to find
	// out.
	recoveryRate = 12.0
	// averagingTime is the time constant of the mean of reported thresholds.
	// Weighting by time rather than by number of responses makes nodes with few
	// responses react to a surge as fast as busy ones. Several calls deep, they
	// would otherwise lag by seconds, and a queue fills in half of one.
	averagingTime = 150 * time.Millisecond
	// minResponseWeight and maxResponseWeight bound the weight of one
	// response in the mean, so that no single response can refuse or admit a
	// whole rank.
	minResponseWeight = 0.1
	maxResponseWeight = 0.5
	// thresholdTTL is the age at which a threshold is discarded.
	thresholdTTL = 3 * time.Second
	// roundingOffset turns truncation into rounding to the nearest level.
	roundingOffset = 0.5
	// calleeTTL is how long a route is remembered as called by another after
	// the last call.
	calleeTTL = 30 * time.Second
	// bottleneckTTL is how long a service is remembered as a possible
	// bottleneck of a route. It is longer than the usual time between
	// surges, so that the bottleneck is still known in the next one.
	bottleneckTTL = 10 * time.Minute
)

type (
	// Admission returns the highest level at which new requests on a route
	// are admitted. A lower level is served first.
	Admission interface {
		Threshold(route string) call.Level
	}

	// Unlimited is an Admission that admits every request.
	Unlimited struct{}

	// ThresholdTable keeps the admission threshold of each service, as
	// reported by responses, the services that can be the bottleneck of each
	// route, and the routes that each route calls. Levels are comparable
	// across routes, so responses on any route update a service's threshold;
	// a route that is almost entirely refused has too few responses of its
	// own. It is safe for concurrent use.
	ThresholdTable struct {
		mu       sync.Mutex
		ceil     float64 // highest level of the lowest rank seen
		routes   map[string]*routeState
		services map[string]*estimate
	}

	// routeState is what is known about a route.
	routeState struct {
		lastResponse time.Time            // time of the last response; zero for none
		bottlenecks  map[string]time.Time // services reported as bottleneck, and when last
		callees      map[string]time.Time // routes called, and when last
	}

	// estimate is a service's estimated threshold and when it was last
	// updated.
	estimate struct {
		threshold float64
		updated   time.Time
	}
)

// Threshold implements Admission; it returns MaxLevel.
func (Unlimited) Threshold(string) call.Level { return MaxLevel }

// NewThresholdTable returns an empty ThresholdTable.
func NewThresholdTable() *ThresholdTable {
	return &ThresholdTable{ceil: LevelsPerRank - 1, routes: map[string]*routeState{}, services: map[string]*estimate{}}
}

// ObserveLevel records a request's level. Thresholds are capped at the end
// of the lowest rank seen, because a mean that starts far above the levels
// in use would take long to refuse anything.
func (t *ThresholdTable) ObserveLevel(l call.Level) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ceil := float64((RankOf(l)+1)*LevelsPerRank - 1)
	if ceil <= t.ceil {
		return
	}
	for _, est := range t.services {
		if est.threshold >= t.ceil-roundingOffset {
			est.threshold = ceil
		}
	}
	t.ceil = ceil
}

// RecordThreshold records the threshold l reported by a response on a route and
// the service that it applies to; service is empty if no service is overloaded.
// A response is weighted by the time since the previous one, so that an
// instance counts by its throughput: a slow instance that admits little has
// little weight. A fast one with spare capacity does not hide that others are
// full.
func (t *ThresholdTable) RecordThreshold(route string, l call.Level, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := t.routeState(route), time.Now()
	lastResponse := r.lastResponse
	r.lastResponse = now
	if service != "" {
		r.bottlenecks[service] = now
		t.update(t.serviceEstimate(service, lastResponse, now), float64(l), now)
		return
	}
	for s := range r.bottlenecks {
		t.update(t.serviceEstimate(s, lastResponse, now), t.ceil, now)
	}
}

// RecordUnreachable records that no instance of a route's service could be
// reached, which lowers the service's threshold.
func (t *ThresholdTable) RecordUnreachable(route, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, now := t.routeState(route), time.Now()
	lastResponse := r.lastResponse
	r.lastResponse, r.bottlenecks[service] = now, now
	est := t.serviceEstimate(service, lastResponse, now)
	est.threshold, est.updated = t.currentThreshold(est, now)*(1-minResponseWeight), now
}

// serviceEstimate returns the estimate of a service. If it has expired, it
// is reset to admit everything as of lastResponse, the last response on the
// route that did not name the service.
func (t *ThresholdTable) serviceEstimate(service string, lastResponse, now time.Time) *estimate {
	est := t.services[service]
	if est == nil {
		est = &estimate{}
		t.services[service] = est
	}
	if now.Sub(est.updated) >= thresholdTTL {
		*est = estimate{threshold: t.ceil, updated: lastResponse}
	}
	return est
}

// update adds a reported threshold to the mean, or replaces the mean if it
// has expired.
func (t *ThresholdTable) update(est *estimate, reported float64, now time.Time) {
	reported = min(reported, t.ceil)
	if elapsed := now.Sub(est.updated); elapsed < thresholdTTL {
		prev := t.currentThreshold(est, now)
		weight := min(max(float64(elapsed)/float64(averagingTime), minResponseWeight), maxResponseWeight)
		reported = prev + (reported-prev)*weight
	}
	est.threshold, est.updated = reported, now
}

// RecordCall records that a request on a route made a call on another route.
func (t *ThresholdTable) RecordCall(route, callee string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routeState(route).callees[callee] = time.Now()
}

// Threshold implements Admission. It returns the highest level admitted on a
// route, MaxLevel if the route has no bottleneck.
func (t *ThresholdTable) Threshold(route string) call.Level {
	t.mu.Lock()
	defer t.mu.Unlock()
	l, _ := t.threshold(t.routes[route], time.Now())
	return l
}

// CalleeThreshold returns the lowest threshold of the routes that a route
// calls and the service it belongs to, or MaxLevel and an empty service if
// no callee is restricted.
func (t *ThresholdTable) CalleeThreshold(route string) (call.Level, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	lowest, service := MaxLevel, ""
	r := t.routes[route]
	if r == nil {
		return lowest, service
	}
	now := time.Now()
	for callee, at := range r.callees {
		if now.Sub(at) > calleeTTL {
			delete(r.callees, callee)
			continue
		}
		if l, s := t.threshold(t.routes[callee], now); l < lowest {
			lowest, service = l, s
		}
	}
	return lowest, service
}

func (t *ThresholdTable) routeState(route string) *routeState {
	r := t.routes[route]
	if r == nil {
		r = &routeState{bottlenecks: map[string]time.Time{}, callees: map[string]time.Time{}}
		t.routes[route] = r
	}
	return r
}

// threshold returns the highest level admitted on a route and the service
// that determines it. It rounds to the nearest level, since rounding down at
// every hop of a call chain would refuse one level more each time. A
// threshold that refuses nothing is returned as MaxLevel, because other
// nodes may see lower ranks.
func (t *ThresholdTable) threshold(r *routeState, now time.Time) (call.Level, string) {
	lowest, service := t.ceil, ""
	if r == nil {
		return MaxLevel, service
	}
	for s, at := range r.bottlenecks {
		if now.Sub(at) > bottleneckTTL {
			delete(r.bottlenecks, s)
			continue
		}
		if l := t.currentThreshold(t.services[s], now); l < lowest {
			lowest, service = l, s
		}
	}
	l := lowest + roundingOffset
	if l >= t.ceil {
		return MaxLevel, ""
	}
	return call.Level(l), service
}

// currentThreshold returns a threshold including its rise since it went
// stale.
func (t *ThresholdTable) currentThreshold(est *estimate, now time.Time) float64 {
	if est.updated.IsZero() {
		return t.ceil
	}
	if stale := now.Sub(est.updated) - staleAfter; stale > 0 {
		return min(est.threshold+recoveryRate*stale.Seconds(), t.ceil)
	}
	return est.threshold
}
