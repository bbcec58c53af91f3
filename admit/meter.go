package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// window is how often a threshold is worked out again: long enough for
	// about a hundred arrivals at a busy target, short against the half
	// second that queues take to fill in a surge.
	window = 200 * time.Millisecond
	// newest is the weight of the newest window in the mean demand: a surge
	// shows within three windows, and chance moves the mean by a few percent.
	newest = 0.35
	// targetUse is the part of a target's slots that admitted work may fill.
	// At sixty slots, requests wait for tens of milliseconds there, well
	// within their callers' times, and no slot stands empty.
	targetUse = 0.98
	// queueAllowed is the time for which the slots may have work waiting.
	queueAllowed = 30 * time.Millisecond
	// drainTime is within which a queue beyond that is to be worked off.
	drainTime = time.Second
	// maxRaise is the most parts by which a threshold rises in a window;
	// from one part the step doubles, so that a whole rank is back within
	// five calm windows.
	maxRaise = 8
)

// Meter works out up to which level a target can serve what comes to it,
// from the demand at each level. Calls count at the level of the request
// that they belong to. The threshold is set where the demand seen fills the
// target, not stepped down while the excess lasts: requests admitted before
// still make their calls for a second, and stepping down meanwhile would
// refuse far too much.
type Meter struct {
	mu     sync.Mutex
	slots  float64
	now    [levels]float64 // demand in this window, in slot seconds
	mean   [levels]float64 // per second
	began  time.Time       // of this window
	level  call.Level
	raise  int
	queued time.Duration // work that waits, in slot time
}

// NewMeter returns a Meter for a target with so many slots; everything is
// admitted until demand shows otherwise.
func NewMeter(slots int) *Meter {
	return &Meter{slots: float64(slots), level: Top, raise: 1}
}

// SetSlots changes how many requests the target works on at once.
func (m *Meter) SetSlots(n int) {
	m.mu.Lock()
	m.slots = float64(n)
	m.mu.Unlock()
}

// Arrive notes a request at a level that takes a slot for about work, and
// the work that waits already.
func (m *Meter) Arrive(l call.Level, work, queued time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(time.Now())
	m.now[min(l, Top)] += work.Seconds()
	m.queued = queued
}

// Threshold returns the last level that is admitted.
func (m *Meter) Threshold() call.Level {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(time.Now())
	return m.level
}

// roll closes the window if its time is up. Windows that passed without a
// call count as empty ones, up to as many as matter.
func (m *Meter) roll(now time.Time) {
	if m.began.IsZero() {
		m.began = now
	}
	passed := int(now.Sub(m.began) / window)
	if passed == 0 {
		return
	}
	m.began = m.began.Add(time.Duration(passed) * window)
	for range min(passed, maxRaise) {
		for i := range m.mean {
			m.mean[i] += (m.now[i]/window.Seconds() - m.mean[i]) * newest
			m.now[i] = 0
		}
		m.adjust()
	}
}

func (m *Meter) adjust() {
	excess := max(0, m.queued.Seconds()-m.slots*queueAllowed.Seconds())
	room := m.slots*targetUse - excess/drainTime.Seconds()
	var sum float64
	for l := call.Level(0); l <= m.level; l++ {
		sum += m.mean[l]
		if sum > room {
			m.level, m.raise = max(l, 1)-1, 1
			return
		}
	}
	m.level = min(m.level+call.Level(m.raise), Top)
	m.raise = min(2*m.raise, maxRaise)
}
