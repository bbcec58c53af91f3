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
	// told is the weight of the newest answer: the targets of a service have
	// thresholds of their own, and a caller may meet any of them.
	told = 0.2
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
		at    time.Time
		calls map[string]time.Time // routes called, and when last
	}
)

// callsKept is how long a route counts as called after it last was.
const callsKept = 30 * time.Second

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{routes: map[string]*entry{}} }

// Told notes the threshold that came with an answer on a route.
func (b *Board) Told(route string, l call.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(route)
	now := time.Now()
	level := float64(min(l, Top))
	if !e.at.IsZero() {
		old := e.now(now)
		level = old + (level-old)*told
	}
	e.level, e.at = level, now
}

// Called notes that a request on a route made a call on another.
func (b *Board) Called(route, callee string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(route)
	if e.calls == nil {
		e.calls = map[string]time.Time{}
	}
	e.calls[callee] = time.Now()
}

// Threshold returns the last level admitted on a route, as answers told.
func (b *Board) Threshold(route string) call.Level {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.routes[route]
	if e == nil {
		return Top
	}
	return call.Level(e.now(time.Now()))
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
			lowest = min(lowest, call.Level(c.now(now)))
		}
	}
	return lowest
}

func (b *Board) entry(route string) *entry {
	e := b.routes[route]
	if e == nil {
		e = &entry{level: float64(Top)}
		b.routes[route] = e
	}
	return e
}

// now returns the threshold as it stands, raised by the time nobody told it.
func (e *entry) now(now time.Time) float64 {
	if old := now.Sub(e.at) - fresh; old > 0 && !e.at.IsZero() {
		return min(e.level+regain*old.Seconds(), float64(Top))
	}
	return e.level
}
