package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// fresh is how old a threshold may be to count as told: several answers
	// come in that time on any busy route.
	fresh = 300 * time.Millisecond
	// regain is how fast a threshold that nobody confirms is given up, in
	// levels a second: when a whole rank is refused, no answer tells that
	// there is room again, and a request let through is how to find out.
	regain = 12.0
	// newestTold is the weight of the newest answer: thresholds move by a
	// part or two with chance.
	newestTold = 0.2
	// toldKept is how long an instance's threshold counts that is not told
	// again; by then it has risen by more than half of all levels in use.
	toldKept = 3 * time.Second
	// callsKept is how long a route counts as called after it last was.
	callsKept = 30 * time.Second
)

type (
	// Board keeps, for each route, the thresholds that the answers of each
	// instance told, and which routes a route's requests call. It is safe for
	// concurrent use.
	Board struct {
		mu     sync.Mutex
		routes map[string]*entry
	}

	entry struct {
		told  map[string]*threshold // by instance
		calls map[string]time.Time  // routes called, and when last
	}

	threshold struct {
		level float64
		at    time.Time
	}
)

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{routes: map[string]*entry{}} }

// Told notes the threshold that came with an instance's answer on a route.
func (b *Board) Told(route, instance string, l call.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(route)
	now := time.Now()
	level := float64(min(l, Top))
	t := e.told[instance]
	if t == nil || now.Sub(t.at) > toldKept {
		e.told[instance] = &threshold{level: level, at: now}
		return
	}
	old := t.now(now)
	t.level, t.at = old+(level-old)*newestTold, now
}

// Called notes that a request on a route made a call on another.
func (b *Board) Called(route, callee string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entry(route).calls[callee] = time.Now()
}

// Threshold returns the last level admitted on a route, as answers told.
func (b *Board) Threshold(route string) call.Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.routes[route]; e != nil {
		return e.threshold(time.Now())
	}
	return Top
}

// Below returns the lowest threshold of the routes that a route's requests
// call.
func (b *Board) Below(route string) call.Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	lowest := Top
	e := b.routes[route]
	if e == nil {
		return lowest
	}
	now := time.Now()
	for callee, at := range e.calls {
		if now.Sub(at) > callsKept {
			delete(e.calls, callee)
			continue
		}
		if c := b.routes[callee]; c != nil {
			lowest = min(lowest, c.threshold(now))
		}
	}
	return lowest
}

func (b *Board) entry(route string) *entry {
	e := b.routes[route]
	if e == nil {
		e = &entry{told: map[string]*threshold{}, calls: map[string]time.Time{}}
		b.routes[route] = e
	}
	return e
}

// threshold returns the highest threshold of the instances that told one
// lately: work goes where there is room, so requests are refused only when no
// instance has any. One that turned slow, or is cut off, does not count while
// others do its work.
func (e *entry) threshold(now time.Time) call.Level {
	highest, any := 0.0, false
	for instance, t := range e.told {
		if now.Sub(t.at) > toldKept {
			delete(e.told, instance)
			continue
		}
		highest, any = max(highest, t.now(now)), true
	}
	if !any {
		return Top
	}
	// Rounded to the nearest, since each node on the way does so: rounding
	// down would refuse a part more at each.
	return call.Level(highest + 0.5)
}

// now returns the threshold as it stands, raised by the time nobody told it.
func (t *threshold) now(now time.Time) float64 {
	if old := now.Sub(t.at) - fresh; old > 0 {
		return min(t.level+regain*old.Seconds(), float64(Top))
	}
	return t.level
}
