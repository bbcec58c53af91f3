package admit

import (
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// fresh is how old a threshold may be to count as told: several answers
	// come in that time at any busy node.
	fresh = 300 * time.Millisecond
	// regain is how fast a threshold that nobody confirms is given up, in
	// levels a second: when a whole rank is refused, no answer tells that
	// there is room again, and a request let through is how to find out.
	regain = 12.0
	// toldSpan is the time whose answers a threshold is the mean of. A node
	// that hears hundreds a second and one that hears five follow a surge
	// alike: counted by answers, the second would take seconds, four calls
	// deep, and a queue fills in half of one.
	toldSpan = 150 * time.Millisecond
	// leastTold and mostTold bound the weight of one answer in that mean:
	// thresholds move by a part or two with chance, and no answer alone may
	// refuse or admit a whole rank.
	leastTold = 0.1
	mostTold  = 0.5
	// toldKept is how long a threshold counts at all that is not told again.
	toldKept = 3 * time.Second
	// roundUp makes a truncation round to the nearest.
	roundUp = 0.5
	// callsKept is how long a route counts as called after it last was.
	callsKept = 30 * time.Second
	// bindsKept is how long a service counts as one that a route's requests
	// can be short of: it follows from the calls that they make, which change
	// with a release, and the next surge is not to be learnt from anew.
	bindsKept = 10 * time.Minute
)

type (
	// Admission says up to which level new requests on a route are admitted.
	Admission interface {
		Threshold(route string) call.Level
	}

	// Everyone admits all.
	Everyone struct{}

	// Board keeps, for each service, the threshold that answers told, which
	// services a route's requests can be short of, and which routes they
	// call. Levels mean the same on all routes, so that answers on any of
	// them tell of a service: a route that is refused nearly whole gets too
	// few of its own to know when there is room again. It is safe for
	// concurrent use.
	Board struct {
		mu       sync.Mutex
		ceil     float64 // last level of the lowest rank seen
		routes   map[string]*entry
		services map[string]*mark
	}

	entry struct {
		heard time.Time            // when an answer last told anything; zero for never
		binds map[string]time.Time // services whose threshold came with answers, and when last
		calls map[string]time.Time // routes called, and when last
	}

	// mark is a service's threshold and when it was last told.
	mark struct {
		level float64
		at    time.Time
	}
)

// Threshold implements Admission.
func (Everyone) Threshold(string) call.Level { return Top }

// NewBoard returns an empty Board.
func NewBoard() *Board {
	return &Board{ceil: Parts - 1, routes: map[string]*entry{}, services: map[string]*mark{}}
}

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
	for _, m := range b.services {
		if m.level >= b.ceil-roundUp {
			m.level = ceil
		}
	}
	b.ceil = ceil
}

// Told notes the threshold that came with an answer on a route, and the
// service whose targets can serve no more; empty where all can serve all.
// Answers weigh by the time since the one before, so an instance counts by
// what it gets done: one that turned slow and admits hardly anything counts
// little, and a fast one with less to do than it could does not hide that the
// others are full.
func (b *Board) Told(route string, l call.Level, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, now := b.entry(route), time.Now()
	heard := e.heard
	e.heard = now
	if service != "" {
		e.binds[service] = now
		b.tell(b.mark(service, heard, now), float64(l), now)
		return
	}
	for s := range e.binds {
		b.tell(b.mark(s, heard, now), b.ceil, now)
	}
}

// Unreachable notes that no instance of a route's service could be reached:
// nobody can serve it from here.
func (b *Board) Unreachable(route, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e, now := b.entry(route), time.Now()
	heard := e.heard
	e.heard, e.binds[service] = now, now
	m := b.mark(service, heard, now)
	m.level, m.at = b.now(m, now)*(1-leastTold), now
}

// mark returns what is known of a service. One that was not heard of lately
// could serve all when an answer on this route last came without its name.
func (b *Board) mark(service string, heard, now time.Time) *mark {
	m := b.services[service]
	if m == nil {
		m = &mark{}
		b.services[service] = m
	}
	if now.Sub(m.at) >= toldKept {
		*m = mark{level: b.ceil, at: heard}
	}
	return m
}

// tell takes a threshold into the mean; alone if there is none to speak of.
func (b *Board) tell(m *mark, level float64, now time.Time) {
	level = min(level, b.ceil)
	if since := now.Sub(m.at); since < toldKept {
		old := b.now(m, now)
		w := min(max(float64(since)/float64(toldSpan), leastTold), mostTold)
		level = old + (level-old)*w
	}
	m.level, m.at = level, now
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
	l, _ := b.threshold(b.routes[route], time.Now())
	return l
}

// Below returns the lowest threshold of the routes that a route's requests
// call, and the service it is of; Top and none if all can be served.
func (b *Board) Below(route string) (call.Level, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	lowest, service := Top, ""
	e := b.routes[route]
	if e == nil {
		return lowest, service
	}
	now := time.Now()
	for callee, at := range e.calls {
		if now.Sub(at) > callsKept {
			delete(e.calls, callee)
			continue
		}
		if l, s := b.threshold(b.routes[callee], now); l < lowest {
			lowest, service = l, s
		}
	}
	return lowest, service
}

func (b *Board) entry(route string) *entry {
	e := b.routes[route]
	if e == nil {
		e = &entry{binds: map[string]time.Time{}, calls: map[string]time.Time{}}
		b.routes[route] = e
	}
	return e
}

// threshold returns the last level admitted and the service that binds. It is
// rounded to the nearest: each node on the way does so, and rounding down
// would refuse a part more at each. One that refuses nothing is Top, for nodes
// that see other ranks.
func (b *Board) threshold(e *entry, now time.Time) (call.Level, string) {
	lowest, service := b.ceil, ""
	if e == nil {
		return Top, service
	}
	for s, at := range e.binds {
		if now.Sub(at) > bindsKept {
			delete(e.binds, s)
			continue
		}
		if l := b.now(b.services[s], now); l < lowest {
			lowest, service = l, s
		}
	}
	l := lowest + roundUp
	if l >= b.ceil {
		return Top, ""
	}
	return call.Level(l), service
}

// now returns a threshold as it stands, raised by the time nobody told it.
func (b *Board) now(m *mark, now time.Time) float64 {
	if m.at.IsZero() {
		return b.ceil
	}
	if old := now.Sub(m.at) - fresh; old > 0 {
		return min(m.level+regain*old.Seconds(), b.ceil)
	}
	return m.level
}
