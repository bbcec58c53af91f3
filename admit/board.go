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
	// roundUp makes a truncation round to the nearest.
	roundUp = 0.5
	// callsKept is how long a route counts as called after it last was.
	callsKept = 30 * time.Second
)

type (
	// Admission says up to which level new requests on a route are admitted.
	Admission interface {
		Threshold(route string) call.Level
	}

	// Everyone admits all.
	Everyone struct{}

	// Board keeps, for each route, the threshold that answers told, and which
	// routes a route's requests call. It is safe for concurrent use.
	Board struct {
		mu     sync.Mutex
		ceil   float64 // last level of the lowest rank seen
		routes map[string]*entry
	}

	entry struct {
		level float64
		at    time.Time            // when last told; zero for never
		calls map[string]time.Time // routes called, and when last
	}
)

// Threshold implements Admission.
func (Everyone) Threshold(string) call.Level { return Top }

// NewBoard returns an empty Board.
func NewBoard() *Board { return &Board{ceil: Parts - 1, routes: map[string]*entry{}} }

// See notes a request's level. Thresholds are kept only up to the end of the
// lowest rank in use: one beyond it refuses nothing, and a mean that came down
// from far beyond would take long to refuse anything.
func (b *Board) See(l call.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ceil := float64((RankOf(l)+1)*Parts - 1)
	if ceil <= b.ceil {
		return
	}
	for _, e := range b.routes {
		if e.level >= b.ceil-roundUp {
			e.level = ceil
		}
	}
	b.ceil = ceil
}

// Told notes the threshold that came with an answer on a route. Each answer
// weighs the same, so an instance counts by what it gets done: one that
// turned slow and admits hardly anything counts little, and a fast one with
// less to do than it could does not hide that the others are full.
func (b *Board) Told(route string, l call.Level) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(route)
	now := time.Now()
	level := min(float64(l), b.ceil)
	if now.Sub(e.at) < toldKept {
		old := b.now(e, now)
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
		return b.threshold(e, time.Now())
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
			lowest = min(lowest, b.threshold(c, now))
		}
	}
	return lowest
}

func (b *Board) entry(route string) *entry {
	e := b.routes[route]
	if e == nil {
		e = &entry{level: b.ceil, calls: map[string]time.Time{}}
		b.routes[route] = e
	}
	return e
}

// threshold returns the last level admitted, rounded to the nearest: each
// node on the way does so, and rounding down would refuse a part more at each.
// One that refuses nothing is Top, for nodes that see other ranks.
func (b *Board) threshold(e *entry, now time.Time) call.Level {
	l := b.now(e, now) + roundUp
	if l >= b.ceil {
		return Top
	}
	return call.Level(l)
}

// now returns a threshold as it stands, raised by the time nobody told it.
func (b *Board) now(e *entry, now time.Time) float64 {
	if e.at.IsZero() {
		return b.ceil
	}
	if old := now.Sub(e.at) - fresh; old > 0 {
		return min(e.level+regain*old.Seconds(), b.ceil)
	}
	return e.level
}
