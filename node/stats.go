package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oatpin/oatpin/call"
)

// stats holds the counters of one node, in its own metrics set so that
// several nodes can run in one process.
type stats struct {
	set      *metrics.Set
	instance string
}

func newStats(instance string) *stats {
	return &stats{set: metrics.NewSet(), instance: instance}
}

// countAnswer counts an answer; side is "local" or "outbound".
func (s *stats) countAnswer(side string, class call.Class, st call.Status) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_answers_total{instance=%q,side=%q,class=%q,status=%q}`, s.instance, side, class, st)).Inc()
}

// countRetry counts a retry sent to service.
func (s *stats) countRetry(service string) {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_retries_total{instance=%q,service=%q}`, s.instance, service)).Inc()
}

func (s *stats) countConfigApplied() {
	s.set.GetOrCreateCounter(fmt.Sprintf(`oatpin_config_applied_total{instance=%q}`, s.instance)).Inc()
}
