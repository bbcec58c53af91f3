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
	// Weighting by time rather than by number of responses makes nodes with
	// few responses react to a surge as fast as busy ones.
	averagingTime = 150 * time.Millisecond
	// minAnswerWeight and maxAnswerWeight bound the weight of one response
	// in the mean, so that no single response can refuse or admit a whole
	// rank.
	minAnswerWeight = 0.1
	maxAnswerWeight = 0.5
	// thresholdTTL is the age at which a threshold is discarded.
	thresholdTTL = 3 * time.Second
	// roundingOffset turns truncation into rounding to the nearest level.
	roundingOffset = 0.5
	// calleeTTL is how long a route is remembered as called by another after
	// the last call.
	calleeTTL = 30 * time.Second
	// bottleneckTTL is how long a service is remembered as a possible
	// bottleneck of a route. It spans the calm between surges, so that the
	// next surge need not be learned from scratch.
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
		routes   map[string]*entry
		services map[string]*estimate
	}

	entry struct {
		lastAnswer  time.Time            // time of the last response; zero for none
		bottlenecks map[string]time.Time // services reported as bottleneck, and when last
		callees     map[string]time.Time // routes called, and when last
	}

	// estimate is a service's estimated threshold and when it was last
	// updated.
	estimate struct {
		level   float64
		updated time.Time
	}
)

// Threshold implements Admission; it returns MaxLevel.
func (Unlimited) Threshold(string) call.Level { return MaxLevel }

// NewThresholdTable returns an empty ThresholdTable.
func NewThresholdTable() *ThresholdTable {
	return &ThresholdTable{ceil: LevelsPerRank - 1, routes: map[string]*entry{}, services: map[string]*estimate{}}
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
		if est.level >= t.ceil-roundingOffset {
			est.level = ceil
		}
	}
	t.ceil = ceil
}

// RecordThreshold records the threshold l reported by a response on a route
// and the service that it applies to; service is empty if no service is
// overloaded. A response is weighted by the time since the previous one, so
// that an instance counts by its throughput: a slow instance that admits
// little has little weight.
func (t *ThresholdTable) RecordThreshold(route string, l call.Level, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.entry(route), time.Now()
	lastAnswer := e.lastAnswer
	e.lastAnswer = now
	if service != "" {
		e.bottlenecks[service] = now
		t.update(t.serviceEstimate(service, lastAnswer, now), float64(l), now)
		return
	}
	for s := range e.bottlenecks {
		t.update(t.serviceEstimate(s, lastAnswer, now), t.ceil, now)
	}
}

// RecordUnreachable records that no instance of a route's service could be
// reached, which lowers the service's threshold.
func (t *ThresholdTable) RecordUnreachable(route, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, now := t.entry(route), time.Now()
	lastAnswer := e.lastAnswer
	e.lastAnswer, e.bottlenecks[service] = now, now
	est := t.serviceEstimate(service, lastAnswer, now)
	est.level, est.updated = t.currentLevel(est, now)*(1-minAnswerWeight), now
}

// serviceEstimate returns the estimate of a service. If it has expired, it
// is reset to admit everything as of lastAnswer, the last response on the
// route that did not name the service.
func (t *ThresholdTable) serviceEstimate(service string, lastAnswer, now time.Time) *estimate {
	est := t.services[service]
	if est == nil {
		est = &estimate{}
		t.services[service] = est
	}
	if now.Sub(est.updated) >= thresholdTTL {
		*est = estimate{level: t.ceil, updated: lastAnswer}
	}
	return est
}

// update adds a reported threshold to the mean, or replaces the mean if it
// has expired.
func (t *ThresholdTable) update(est *estimate, level float64, now time.Time) {
	level = min(level, t.ceil)
	if elapsed := now.Sub(est.updated); elapsed < thresholdTTL {
		prev := t.currentLevel(est, now)
		weight := min(max(float64(elapsed)/float64(averagingTime), minAnswerWeight), maxAnswerWeight)
		level = prev + (level-prev)*weight
	}
	est.level, est.updated = level, now
}

// RecordCall records that a request on a route made a call on another route.
func (t *ThresholdTable) RecordCall(route, callee string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(route).callees[callee] = time.Now()
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
	e := t.routes[route]
	if e == nil {
		return lowest, service
	}
	now := time.Now()
	for callee, at := range e.callees {
		if now.Sub(at) > calleeTTL {
			delete(e.callees, callee)
			continue
		}
		if l, s := t.threshold(t.routes[callee], now); l < lowest {
			lowest, service = l, s
		}
	}
	return lowest, service
}

func (t *ThresholdTable) entry(route string) *entry {
	e := t.routes[route]
	if e == nil {
		e = &entry{bottlenecks: map[string]time.Time{}, callees: map[string]time.Time{}}
		t.routes[route] = e
	}
	return e
}

// threshold returns the highest level admitted on a route and the service
// that determines it. It rounds to the nearest level, since rounding down at
// every hop of a call chain would refuse one level more each time. A
// threshold that refuses nothing is returned as MaxLevel, because other
// nodes may see lower ranks.
func (t *ThresholdTable) threshold(e *entry, now time.Time) (call.Level, string) {
	lowest, service := t.ceil, ""
	if e == nil {
		return MaxLevel, service
	}
	for s, at := range e.bottlenecks {
		if now.Sub(at) > bottleneckTTL {
			delete(e.bottlenecks, s)
			continue
		}
		if l := t.currentLevel(t.services[s], now); l < lowest {
			lowest, service = l, s
		}
	}
	l := lowest + roundingOffset
	if l >= t.ceil {
		return MaxLevel, ""
	}
	return call.Level(l), service
}

// currentLevel returns a threshold including its rise since it went stale.
func (t *ThresholdTable) currentLevel(est *estimate, now time.Time) float64 {
	if est.updated.IsZero() {
		return t.ceil
	}
	if stale := now.Sub(est.updated) - staleAfter; stale > 0 {
		return min(est.level+recoveryRate*stale.Seconds(), t.ceil)
	}
	return est.level
}
