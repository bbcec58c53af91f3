package balance

import (
	"math/rand/v2"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// probeInterval is how long after the last outcome an instance is due for a
	// probe. It doubles with each probe that fails, up to maxProbeInterval.
	probeInterval    = 2 * time.Second
	maxProbeInterval = 16 * time.Second
)

// considerProbe considers an instance as if it were idle and healthy, if it is due
// for a probe. What an instance last reported counts until it answers again, so it
// could stay unused for minutes after it has recovered while others have room.
func (sel *selection) considerProbe(in *directory.Instance, s *instanceState) {
	if !sel.probe || !s.isDue(sel.now) {
		return
	}
	own := float64(s.outstanding) / float64(s.limit(in))
	cost := sel.b.placeCost(in, own, sel.now) + jitter*rand.Float64()
	if sel.due == nil || cost < sel.dueCost {
		sel.due, sel.dueCost = in, cost
	}
}

// isDue reports whether an instance is due for a probe. One that never had a
// request has nothing to be forgotten.
func (s *instanceState) isDue(now time.Time) bool {
	return !s.lastOutcome.IsZero() && now.Sub(s.lastOutcome) >= s.probeInterval()
}

func (s *instanceState) probeInterval() time.Duration {
	return min(probeInterval<<min(s.failedProbes, 10), maxProbeInterval)
}

// recordProbe records an outcome, and whether it is a failure of a probe.
func (s *instanceState) recordProbe(o Outcome, now time.Time) {
	switch {
	case !o.Failed && !o.Refused && !o.Unreachable:
		s.failedProbes = 0
	case s.isDue(now):
		s.failedProbes++
	}
	s.lastOutcome = now
}
