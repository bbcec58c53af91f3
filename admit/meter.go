package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// interval is how often the threshold is recomputed: long enough to see
	// a meaningful number of arrivals, short compared with the time in which
	// queues fill in a surge.
	interval = 200 * time.Millisecond
	// demandSmoothing is the weight of the newest interval in the mean
	// demand. A surge shows within three intervals.
	demandSmoothing = 0.35
	// maxUtilization is the fraction of a target's slots that admitted work may
	// use. Work then waits for tens of milliseconds at a target of sixty slots,
	// and no slot is left empty.
	maxUtilization = 0.98
	// allowedQueueDelay is the queueing time per slot that is tolerated
	// before the threshold is lowered to drain the queue.
	allowedQueueDelay = 30 * time.Millisecond
	// drainTime is the time within which a longer queue is to be drained.
	drainTime = time.Second
	// maxRaiseStep is the most levels by which the threshold rises per
	// interval. The step starts at one level and doubles, so that a whole
	// rank is readmitted within five intervals without excess.
	maxRaiseStep = 8
)

// DemandMeter computes the highest level that a target has capacity for from
// the demand at each level. Calls count at the level of the request they
// belong to. The threshold is set directly to where the demand fits, not
// stepped down while the excess lasts: requests that were admitted earlier
// go on making calls, and stepping would overshoot. It is safe for
// concurrent use.
type DemandMeter struct {
	mu            sync.Mutex
	slots         float64
	demand        [numLevels]float64 // in the current interval, in slot seconds
	meanDemand    [numLevels]float64 // in slot seconds per second
	intervalStart time.Time
	threshold     call.Level
	raiseStep     int
	queued        time.Duration // queued work, in slot time
}

// NewDemandMeter returns a DemandMeter for a target with the given number of
// slots. It admits everything until demand exceeds them.
func NewDemandMeter(slots int) *DemandMeter {
	return &DemandMeter{slots: float64(slots), threshold: MaxLevel, raiseStep: 1}
}

// SetSlots changes the number of requests that the target processes
// concurrently.
func (m *DemandMeter) SetSlots(n int) {
	m.mu.Lock()
	m.slots = float64(n)
	m.mu.Unlock()
}

// Reset discards all demand and admits everything again.
func (m *DemandMeter) Reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.demand[:])
	clear(m.meanDemand[:])
	m.queued, m.threshold, m.raiseStep = 0, MaxLevel, 1
}

// RecordArrival records the arrival of a request at a level, the slot time
// it is expected to take, and the slot time of the work already queued.
func (m *DemandMeter) RecordArrival(l call.Level, work, queued time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	m.demand[min(l, MaxLevel)] += work.Seconds()
	m.queued = queued
}

// Threshold returns the highest level that is admitted.
func (m *DemandMeter) Threshold() call.Level {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(time.Now())
	return m.threshold
}

// advance closes the current interval if it has ended. Further intervals
// that passed since the last call of advance count as empty; at most
// maxRaiseStep intervals are processed.
func (m *DemandMeter) advance(now time.Time) {
	if m.intervalStart.IsZero() {
		m.intervalStart = now
	}
	elapsed := int(now.Sub(m.intervalStart) / interval)
	if elapsed == 0 {
		return
	}
	m.intervalStart = m.intervalStart.Add(time.Duration(elapsed) * interval)
	for range min(elapsed, maxRaiseStep) {
		for i := range m.meanDemand {
			m.meanDemand[i] += (m.demand[i]/interval.Seconds() - m.meanDemand[i]) * demandSmoothing
			m.demand[i] = 0
		}
		m.adjust()
	}
}

// adjust lowers the threshold to where the mean demand fits the capacity, or
// raises it by raiseStep if all admitted levels fit.
func (m *DemandMeter) adjust() {
	excess := max(0, m.queued.Seconds()-m.slots*allowedQueueDelay.Seconds())
	capacity := m.slots*maxUtilization - excess/drainTime.Seconds()
	var sum float64
	for l := call.Level(0); l <= m.threshold; l++ {
		sum += m.meanDemand[l]
		if sum > capacity {
			m.threshold, m.raiseStep = max(l, 1)-1, 1
			return
		}
	}
	m.threshold = min(m.threshold+call.Level(m.raiseStep), MaxLevel)
	m.raiseStep = min(2*m.raiseStep, maxRaiseStep)
}
