package sidecar

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/inbound"
	"github.com/oatpin/oatpin/memory"
	"github.com/oatpin/oatpin/quarantine"
	"github.com/oatpin/oatpin/replication"
	"github.com/oatpin/oatpin/targetconn"
)

// Causes of refusals, as counted in oatpin_refused_total.
const (
	causeOverload  cause = "overload"   // some target on the path is overloaded
	causeNoRoutes  cause = "no_routes"  // no routes loaded, or they may be outdated
	causeAnswer    cause = "answer"     // no memory for its answer
	causeNoRoute   cause = "no_route"   // no route matches
	causeLeaving   cause = "leaving"    // the node is shutting down
	causeBadHeader cause = "bad_header" // a header is missing or malformed
	causeKey       cause = "key"        // no account holds the key
	causeLimit     cause = "limit"      // the account is over its rate limit
	causeBody      cause = "body"       // too large, too slow, incomplete, or out of memory for bodies
	// causeQuarantine marks requests that have crashed instances.
	causeQuarantine cause = "quarantine"
)

// Further causes of refusals after a service was chosen, as counted in
// oatpin_split_refused_total.
const (
	causeNoInstance  cause = "no_instance"  // the service has none that may be used
	causeUnreachable cause = "unreachable"  // none of the nodes tried was reached
	causeTargetRate  cause = "target_limit" // the last instance tried was at its rate limit
	causeTarget      cause = "target"       // the last instance tried refused it
)

type (
	cause string

	// stats holds the node's metrics in a set of its own, so that several
	// nodes in one process do not share them.
	stats struct {
		set           *metrics.Set
		node          string
		requests      metricCache[requestKey, *metrics.Histogram]
		attempts      metricCache[attemptKey, *metrics.Histogram]
		queueWaits    metricCache[waitKey, *metrics.Histogram]
		retries       metricCache[string, *metrics.Counter]
		refusals      metricCache[refusalKey, *metrics.Counter]
		draws         metricCache[splitKey, *metrics.Counter]
		splitRefusals metricCache[splitKey, *metrics.Counter]
		sent          *metrics.Counter // requests sent to the local target
	}

	requestKey struct {
		route, service string
		idempotent     bool
		status         call.Status
	}

	refusalKey struct {
		cause   cause
		account account.Name // empty for none
	}

	splitKey struct {
		route, service string
		cause          cause // empty for a draw
	}

	attemptKey struct {
		service string
		status  call.Status
	}

	waitKey struct {
		child, admitted bool
	}

	// metricCache caches metrics by key, because formatting a metric name
	// costs more than updating the metric. Safe for concurrent use.
	metricCache[K comparable, V any] struct {
		mu      sync.RWMutex
		metrics map[K]V
	}
)

func newStats(node string) *stats {
	s := &stats{set: metrics.NewSet(), node: node}
	s.sent = s.set.NewCounter(fmt.Sprintf(`oatpin_target_requests_total{node=%q}`, node))
	return s
}

// get returns the metric of a key, and builds it on first use.
func (m *metricCache[K, V]) get(k K, build func() V) V {
	m.mu.RLock()
	v, ok := m.metrics[k]
	m.mu.RUnlock()
	if ok {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.metrics[k]; ok {
		return v
	}
	if m.metrics == nil {
		m.metrics = map[K]V{}
	}
	v = build()
	m.metrics[k] = v
	return v
}

// className returns the value of the class label; "action" means not
// idempotent.
func className(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "action"
}

// observeRequest records the response to a caller and its duration.
func (s *stats) observeRequest(rt *directory.Route, service string, st call.Status, took time.Duration) {
	k := requestKey{route: rt.Name, service: service, idempotent: rt.Idempotent, status: st}
	s.requests.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_request_duration_seconds{node=%q,route=%q,service=%q,class=%q,status=%q}`,
			s.node, k.route, k.service, className(k.idempotent), k.status))
	}).Update(took.Seconds())
}

// observeAttempt records an attempt at an instance and its duration.
func (s *stats) observeAttempt(service string, st call.Status, took time.Duration) {
	k := attemptKey{service: service, status: st}
	s.attempts.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_try_duration_seconds{node=%q,service=%q,status=%q}`, s.node, k.service, k.status))
	}).Update(took.Seconds())
}

// observeQueueWait records the time that a request was queued for the local
// target.
func (s *stats) observeQueueWait(child, admitted bool, d time.Duration) {
	k := waitKey{child: child, admitted: admitted}
	s.queueWaits.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_turn_wait_seconds{node=%q,begun="%t",admitted="%t"}`, s.node, child, admitted))
	}).Update(d.Seconds())
}

// countRetry counts a request sent to another instance after it reached one.
func (s *stats) countRetry(service string) {
	s.retries.get(service, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_repeats_total{node=%q,service=%q}`, s.node, service))
	}).Inc()
}

// countRefusal counts a request refused before it was executed.
func (s *stats) countRefusal(c cause, a *account.Account) {
	k := refusalKey{cause: c, account: accountName(a)}
	s.refusals.get(k, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_refused_total{node=%q,cause=%q,account=%q}`, s.node, k.cause, k.account))
	}).Inc()
}

// countSplitDraw counts a request of a split route for which a service was drawn.
func (s *stats) countSplitDraw(route, service string) {
	s.draws.get(splitKey{route: route, service: service}, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_split_drawn_total{node=%q,route=%q,service=%q}`, s.node, route, service))
	}).Inc()
}

// countSplitRefusal counts a request of a split route that was not run after its
// service had been drawn.
func (s *stats) countSplitRefusal(route, service string, c cause) {
	s.splitRefusals.get(splitKey{route: route, service: service, cause: c}, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_split_refused_total{node=%q,route=%q,service=%q,cause=%q}`, s.node, route, service, c))
	}).Inc()
}

// countOlderRoutes counts a request sent to an instance by an older version of the
// routes than is in force.
func (s *stats) countOlderRoutes() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_sent_by_older_routes_total{node=%q}`, s.node)).Inc()
}

// countTargetExit counts an exit of the local target.
func (s *stats) countTargetExit() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_target_ends_total{node=%q}`, s.node)).Inc()
}

// countDecodeError counts a message from another node that could not be
// decoded.
func (s *stats) countDecodeError() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_messages_misread_total{node=%q}`, s.node)).Inc()
}

// countInvalidStatement counts an answer of the local target with a rate limit
// that could not be decoded.
func (s *stats) countInvalidStatement() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_target_rate_limit_invalid_total{node=%q}`, s.node)).Inc()
}

// countOverBound counts an answer of the local target that was over a bound.
func (s *stats) countOverBound(b targetconn.Bound) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_target_answers_over_bound_total{node=%q,bound=%q}`, s.node, b)).Inc()
}

// countRefusedHead counts a head of a caller that was refused.
func (s *stats) countRefusedHead(why inbound.Cause) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_heads_refused_total{node=%q,cause=%q}`, s.node, why)).Inc()
}

// countSent counts a request sent to the local target.
func (s *stats) countSent() { s.sent.Inc() }

// registerGauges registers the gauges that read the node's current state.
func (s *stats) registerGauges(n *Node) {
	gauge := func(name string, f func() float64) {
		s.set.NewGauge(fmt.Sprintf(`%s{node=%q}`, name, s.node), f)
	}
	gauge("oatpin_target_busy", func() float64 { return float64(n.gate.Load().InFlight) })
	gauge("oatpin_target_queued", func() float64 { return float64(n.gate.Load().Queued) })
	gauge("oatpin_target_limit", func() float64 { return float64(n.gate.Load().Limit) })
	gauge("oatpin_target_rate_limit", n.targetRate.get)
	gauge("oatpin_target_leaving", func() float64 { return boolGauge(n.targetLeaving()) })
	for kind, a := range map[string]*memory.Account{"requests": &n.held, "answers": &n.heldAnswers} {
		s.set.NewGauge(fmt.Sprintf(`oatpin_held_bytes{node=%q,kind=%q}`, s.node, kind), func() float64 { return float64(a.Used()) })
	}
	gauge("oatpin_target_failing_ratio", n.health.FailureRate)
	gauge("oatpin_target_slow", n.slowdown.Slowdown)
	gauge("oatpin_admitted_level", func() float64 { return float64(n.meter.Threshold()) })
	gauge("oatpin_routes_version", func() float64 { return float64(n.routesVersion()) })
	gauge("oatpin_routes_version_newest", func() float64 { return float64(n.dir.NewestVersion()) })
	gauge("oatpin_source_era", func() float64 { return float64(n.dir.Revision().Era()) })
	gauge("oatpin_directory_revision", func() float64 { return float64(n.dir.Revision().Counter()) })
	gauge("oatpin_instances_unlisted", func() float64 { return float64(n.dir.View().UnlistedCount()) })
	gauge("oatpin_entries_refused", func() float64 { return float64(n.dir.InvalidEntries()) })
	for _, st := range []quarantine.Stage{quarantine.Isolated, quarantine.Quarantined} {
		s.set.NewGauge(fmt.Sprintf(`oatpin_requests_kept_apart{node=%q,stage=%q}`, s.node, st), func() float64 { return float64(n.quarantine.Count(st)) })
	}
	gauge("oatpin_source_away", func() float64 { return boolGauge(n.dir.SourceUnreachable()) })
	gauge("oatpin_source_reader", func() float64 { return boolGauge(n.syncer.IsReader()) })
	gauge("oatpin_directory_age_seconds", func() float64 { return n.dir.Age().Seconds() })
	for name, f := range map[string]func(replication.Counts) int64{
		"oatpin_source_reads_total":        func(c replication.Counts) int64 { return c.SourceCalls },
		"oatpin_source_reads_failed_total": func(c replication.Counts) int64 { return c.SourceErrors },
		"oatpin_source_loads_total":        func(c replication.Counts) int64 { return c.Loads },
		"oatpin_source_history_lost_total": func(c replication.Counts) int64 { return c.HistoryLosses },
		"oatpin_reader_asked_total":        func(c replication.Counts) int64 { return c.PeerPolls },
		"oatpin_reader_asked_failed_total": func(c replication.Counts) int64 { return c.PeerErrors },
	} {
		gauge(name, func() float64 { return float64(f(n.syncer.Counts())) })
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ServeHTTP writes the metrics in Prometheus text format.
func (s *stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) { s.set.WritePrometheus(w) }
