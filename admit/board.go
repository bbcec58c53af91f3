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
	newestTold = 0.1
	// toldKept is how long a threshold counts at all that is not told again.
	toldKept = 3 * time.Second
	// callsKept is how long a route counts as called after it last was.
	callsKept = 30 * time.Second
)

type (
	// Board keeps, for each route, the threshold that answers told, and which
	// routes a route's requests call. It is safe for concurrent use.
	Board struct {
		mu     sync.Mutex
		routes map[string]*entry
	}

	entry struct {
		level float64
		at    time.Time            // when last told; zero for never
		calls map[string]time.Time // routes called, and when last
	}
)

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{routes: map[string]*entry{}} }

// Told notes the threshold that came with an answer on a route. Each answer
// weighs the same, so an instance counts by what it gets done: one that
// turned slow and admits hardly anything counts little, and a fast one with
// less to do than it could does not hide that the others are full.
func (b *Board) Told(route string, l call.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(route)
	now := time.Now()
	level := float64(min(l, Top))
	if now.Sub(e.at) < toldKept {
		old := e.now(now)
		level = old + (level-old)*newestTold
	}
	e.level, e.at = level, now
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
		e = &entry{calls: map[string]time.Time{}}
		b.routes[route] = e
	}
	return e
}

// threshold returns the last level admitted, rounded to the nearest: each
// node on the way does so, and rounding down would refuse a part more at each.
func (e *entry) threshold(now time.Time) call.Level { return call.Level(e.now(now) + 0.5) }

// now returns the threshold as it stands, raised by the time nobody told it.
func (e *entry) now(now time.Time) float64 {
	if e.at.IsZero() {
		return float64(Top)
	}
	if old := now.Sub(e.at) - fresh; old > 0 {
		return min(e.level+regain*old.Seconds(), float64(Top))
	}
	return e.level
}
