package sidecar

import (
	"fmt"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/call"
)

// stats are the node's counters, in a set of its own so that several nodes
// in one process keep theirs apart.
type stats struct {
	set  *metrics.Set
	name string
}

func newStats(name string) *stats { return &stats{set: metrics.NewSet(), name: name} }

// answered counts one answer to a caller.
func (s *stats) answered(route string, st call.Status) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_answers_total{node=%q,route=%q,status=%q}`, s.name, route, st)).Inc()
}

// repeated counts one request sent to a second instance.
func (s *stats) repeated(service string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_repeats_total{node=%q,service=%q}`, s.name, service)).Inc()
}

// ServeHTTP writes the counters as text.
func (s *stats) ServeHTTP(w http.ResponseWriter, _ *http.Request) { s.set.WritePrometheus(w) }
