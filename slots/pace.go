package slots

import (
	"math"
	"sync"
	"time"
)

const (
	// usualAge is the mean age of the requests that a target works on, in
	// parts of the time they usually take: a half where all take the same,
	// more where some take much longer.
	usualAge = 0.7
	// ageNoise is by how much a single request's age may exceed that by
	// chance, so that one in some thousands does; of n requests' mean, the
	// square root of n less.
	ageNoise = 2.2
	// paceKept is how long a look at the running requests holds: short
	// against a request's time, and many come within it.
	paceKept = 10 * time.Millisecond
)

type (
	// Pace tells how fast a target works now, from the requests that it works
	// on: one that turned twelve times slower completes nothing for as long as
	// twelve requests took before, and a mean of what completes knows nothing
	// meanwhile. The time that requests wait for their own calls does not
	// count. It is safe for concurrent use.
	Pace struct {
		mu      sync.Mutex
		own     map[string]time.Duration // mean time without calls, by kind
		calls   map[string]time.Duration // mean time in calls
		running map[*Run]struct{}
		slow    float64 // as last looked at
		looked  time.Time
	}

	// Run is one request at the target.
	Run struct {
		pace    *Pace
		kind    string
		began   time.Time
		calling int       // calls that it waits for
		since   time.Time // when the first of them began
		waited  time.Duration
	}
)

// NewPace returns a Pace that knows no kind of request yet.
func NewPace() *Pace {
	return &Pace{own: map[string]time.Duration{}, calls: map[string]time.Duration{}, running: map[*Run]struct{}{}, slow: 1}
}

// Begin notes that the target begins to work on a request.
func (p *Pace) Begin(kind string) *Run {
	r := &Run{pace: p, kind: kind, began: time.Now()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[r] = struct{}{}
	return r
}

// Call notes that the request makes a call.
func (r *Run) Call() {
	r.pace.mu.Lock()
	defer r.pace.mu.Unlock()
	if r.calling == 0 {
		r.since = time.Now()
	}
	r.calling++
}

// Return notes that one of its calls ended.
func (r *Run) Return() {
	r.pace.mu.Lock()
	defer r.pace.mu.Unlock()
	if r.calling--; r.calling == 0 {
		r.waited += time.Since(r.since)
	}
}

// End notes that the request ended; whole says that its time counts.
func (r *Run) End(whole bool) {
	p := r.pace
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, r)
	if !whole {
		return
	}
	now := time.Now()
	own := r.age(now)
	smooth(p.own, r.kind, own)
	smooth(p.calls, r.kind, now.Sub(r.began)-own)
}

// age is how long the target itself has worked on the request.
func (r *Run) age(now time.Time) time.Duration {
	d := now.Sub(r.began) - r.waited
	if r.calling > 0 {
		d -= now.Sub(r.since)
	}
	return d
}

// Slow is how many times longer the target takes now than it did lately, 1 if
// that cannot be told from chance.
func (p *Pace) Slow() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowness(time.Now())
}

func (p *Pace) slowness(now time.Time) float64 {
	if now.Sub(p.looked) < paceKept {
		return p.slow
	}
	n, sum := 0.0, 0.0
	for r := range p.running {
		if own := p.own[r.kind]; own > 0 {
			n++
			sum += float64(r.age(now)) / float64(own)
		}
	}
	p.slow, p.looked = 1, now
	if n > 0 && sum/n > usualAge+ageNoise/math.Sqrt(n) {
		p.slow = sum / n / usualAge
	}
	return p.slow
}

// Needs is how long a request of a kind takes at the target's present pace,
// its calls included; 0 if nothing is known.
func (p *Pace) Needs(kind string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(float64(p.own[kind])*p.slowness(time.Now())) + p.calls[kind]
}

// Reset forgets all kinds: the target is another one.
func (p *Pace) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.own, p.calls, p.slow = map[string]time.Duration{}, map[string]time.Duration{}, 1
}

func smooth(means map[string]time.Duration, kind string, d time.Duration) {
	m, ok := means[kind]
	if !ok {
		m = d
	}
	means[kind] = m + time.Duration(float64(d-m)*smoothing)
}
