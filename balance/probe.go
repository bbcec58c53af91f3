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
// could stay unused for minutes after it has recovered while others have room. Only one
// request at a time is lost to an instance that doesn't answer.
func (sel *selection) considerProbe(in *directory.Instance, s *instanceState) {
	if !sel.probe || s.outstanding > 0 || !s.isDue(sel.now) {
		return
	}
	cost := sel.b.placeCost(in, 0, sel.now) + jitter*rand.Float64()
	if sel.due == nil || cost < sel.dueCost {
		sel.due, sel.dueCost = in, cost
	}
}

// isDue reports whether an instance is due for a probe. One that never had a request
// has told nothing that could keep it unused.
func (s *instanceState) isDue(now time.Time) bool {
	return !s.lastOutcome.IsZero() && now.Sub(s.lastOutcome) >= max(s.probeAfter, probeInterval)
}

// recordProbe records when an outcome came, and when the next probe is due if it is the
// failure of one.
func (s *instanceState) recordProbe(o Outcome, now time.Time) {
	switch {
	case !o.Failed && !o.Refused && !o.Unreachable:
		s.probeAfter = 0
	case s.isDue(now):
		s.probeAfter = min(2*max(s.probeAfter, probeInterval), maxProbeInterval)
	}
	s.lastOutcome = now
}
