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
	"github.com/oatpin/oatpin/membership"
	"github.com/oatpin/oatpin/quarantine"
)

// Causes of a refusal, as counted.
const (
	causeOverload cause = "overload"   // some target on the way is too busy
	causeNoRoutes cause = "no_routes"  // the node knows no routes, or may know old ones only
	causeNoRoute  cause = "no_route"   // no route matches
	causeLeaving  cause = "leaving"    // the node is stopping
	causeRequest  cause = "bad_header" // a header is missing or malformed
	causeKey      cause = "key"        // no account known here holds the key
	causeLimit    cause = "limit"      // its account has sent all it may
	causeBody     cause = "body"       // too large, too slow, cut, or no memory for it
	// causeQuarantine is that instances ended under the request.
	causeQuarantine cause = "quarantine"
)

type (
	cause string

	// stats are the node's counters, in a set of its own so that several
	// nodes in one process keep theirs apart.
	stats struct {
		set      *metrics.Set
		node     string
		requests byKey[requestKey, *metrics.Histogram]
		tries    byKey[tryKey, *metrics.Histogram]
		waits    byKey[waitKey, *metrics.Histogram]
		repeats  byKey[string, *metrics.Counter]
		refusals byKey[refusalKey, *metrics.Counter]
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

	tryKey struct {
		service string
		status  call.Status
	}

	waitKey struct {
		begun, admitted bool
	}

	// byKey keeps what was made for each key; making a metric's name for
	// every request would cost more than counting it.
	byKey[K comparable, V any] struct {
		mu   sync.RWMutex
		made map[K]V
	}
)

func newStats(node string) *stats { return &stats{set: metrics.NewSet(), node: node} }

// get returns what was made for a key, and makes it at its first use.
func (m *byKey[K, V]) get(k K, build func() V) V {
	m.mu.RLock()
	v, ok := m.made[k]
	m.mu.RUnlock()
	if ok {
		return v
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.made[k]; ok {
		return v
	}
	if m.made == nil {
		m.made = map[K]V{}
	}
	v = build()
	m.made[k] = v
	return v
}

func classOf(idempotent bool) string {
	if idempotent {
		return "idempotent"
	}
	return "action"
}

// answered notes one answer to a caller and how long it took.
func (s *stats) answered(rt *directory.Route, service string, st call.Status, took time.Duration) {
	k := requestKey{route: rt.Name, service: service, idempotent: rt.Idempotent, status: st}
	s.requests.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_request_duration_seconds{node=%q,route=%q,service=%q,class=%q,status=%q}`,
			s.node, k.route, k.service, classOf(k.idempotent), k.status))
	}).Update(took.Seconds())
}

// tried notes one try at an instance and how long it took.
func (s *stats) tried(service string, st call.Status, took time.Duration) {
	k := tryKey{service: service, status: st}
	s.tries.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_try_duration_seconds{node=%q,service=%q,status=%q}`, s.node, k.service, k.status))
	}).Update(took.Seconds())
}

// waited notes how long a request waited for its turn at the local target.
func (s *stats) waited(begun, admitted bool, d time.Duration) {
	k := waitKey{begun: begun, admitted: admitted}
	s.waits.get(k, func() *metrics.Histogram {
		return s.set.GetOrCreateHistogram(fmt.Sprintf(`oatpin_turn_wait_seconds{node=%q,begun="%t",admitted="%t"}`, s.node, begun, admitted))
	}).Update(d.Seconds())
}

// repeated counts one request sent to a second instance.
func (s *stats) repeated(service string) {
	s.repeats.get(service, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_repeats_total{node=%q,service=%q}`, s.node, service))
	}).Inc()
}

// refused counts one request refused before any work.
func (s *stats) refused(c cause, of *account.Account) {
	k := refusalKey{cause: c, account: nameOf(of)}
	s.refusals.get(k, func() *metrics.Counter {
		return s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_refused_total{node=%q,cause=%q,account=%q}`, s.node, k.cause, k.account))
	}).Inc()
}

// targetEnded counts one end of the local target.
func (s *stats) targetEnded() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_target_ends_total{node=%q}`, s.node)).Inc()
}

// misread counts one message of another node that could not be decoded.
func (s *stats) misread() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_messages_misread_total{node=%q}`, s.node)).Inc()
}

// watch serves figures that the node knows at any time.
func (s *stats) watch(n *Node) {
	gauge := func(name string, f func() float64) {
		s.set.NewGauge(fmt.Sprintf(`%s{node=%q}`, name, s.node), f)
	}
	gauge("oatpin_target_busy", func() float64 { return float64(n.gate.Load().Busy) })
	gauge("oatpin_target_queued", func() float64 { return float64(n.gate.Load().Queued) })
	gauge("oatpin_target_limit", func() float64 { return float64(n.gate.Load().Limit) })
	gauge("oatpin_target_failing_ratio", n.health.Failing)
	gauge("oatpin_target_slow", n.pace.Slow)
	gauge("oatpin_admitted_level", func() float64 { return float64(n.meter.Threshold()) })
	gauge("oatpin_routes_version", func() float64 { return float64(n.version()) })
	gauge("oatpin_directory_revision", func() float64 { return float64(n.revision()) })
	gauge("oatpin_instances_unlisted", func() float64 { return float64(n.dir.View().Unlisted()) })
	gauge("oatpin_entries_refused", func() float64 { return float64(n.dir.Refused()) })
	for _, st := range []quarantine.Stage{quarantine.Isolated, quarantine.Quarantined} {
		s.set.NewGauge(fmt.Sprintf(`oatpin_requests_kept_apart{node=%q,stage=%q}`, s.node, st), func() float64 { return float64(n.book.Count(st)) })
	}
	gauge("oatpin_source_away", func() float64 { return truth(n.dir.SourceAway()) })
	gauge("oatpin_source_reader", func() float64 { return truth(n.member.Reads()) })
	gauge("oatpin_directory_age_seconds", func() float64 { return n.dir.Age().Seconds() })
	for name, f := range map[string]func(membership.Counts) int64{
		"oatpin_source_reads_total":        func(c membership.Counts) int64 { return c.Reads },
		"oatpin_source_reads_failed_total": func(c membership.Counts) int64 { return c.ReadsFailed },
		"oatpin_reader_asked_total":        func(c membership.Counts) int64 { return c.Asks },
		"oatpin_reader_asked_failed_total": func(c membership.Counts) int64 { return c.AsksFailed },
	} {
		gauge(name, func() float64 { return float64(f(n.member.Counts())) })
	}
}

// truth is how a metric tells whether something is so.
func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// ServeHTTP writes the metrics as text.
func (s *stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) { s.set.WritePrometheus(w) }
