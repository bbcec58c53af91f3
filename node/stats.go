package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/call"
)

// stats are the node's counters, in a set of its own so that several nodes
// in one process (the demo, tests) keep theirs apart.
type stats struct {
	set      *metrics.Set
	instance string
}

func newStats(instance string) *stats {
	return &stats{set: metrics.NewSet(), instance: instance}
}

// answered counts one answer given at a hop; side is "local" or "outbound".
func (s *stats) answered(side string, class call.Class, st call.Status) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_answers_total{instance=%q,side=%q,class=%q,status=%q}`, s.instance, side, class, st)).Inc()
}

// retried counts one retry sent by this node.
func (s *stats) retried(service string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_retries_total{instance=%q,service=%q}`, s.instance, service)).Inc()
}

// configApplied counts texts put in force.
func (s *stats) configApplied() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_config_applied_total{instance=%q}`, s.instance)).Inc()
}
