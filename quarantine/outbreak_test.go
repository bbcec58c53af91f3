package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	step = 5 * time.Millisecond
	// atOnce is how many requests are in progress at an instance.
	atOnce   = 60
	workTime = 220 * time.Millisecond
	downTime = 3 * time.Second
	// backTime is how long a caller takes to be back: one way out, and two
	// ways in on a new connection.
	backTime = 10 * time.Millisecond
	// laneTime is how long a request waits for others that keep it out.
	laneTime = time.Second
	// knownAfter is when every node must know of a third end, and furtherRuns
	// how many instances a request may reach after that.
	knownAfter  = 3 * time.Second
	furtherRuns = 3
)

type (
	// outbreak is a service's instances under requests most of which are
	// harmless and each of its own kind, and a few of which end every
	// instance that begins to run them. Each instance has a node, with a
	// Book; what a node finds out, all know some time later.
	outbreak struct {
		r      *rand.Rand
		books  []*Book
		places []*place
		tell   time.Duration // until others know
		flaps  float64       // instances that end by themselves, a second

		next    Fingerprint // of a harmless request
		waiting []func()    // for the next step
		victims []Fingerprint
		tried   map[Fingerprint]int // fatal requests, so often
		ended   map[Fingerprint][]time.Time
		later   map[Fingerprint]int // ends later than knownAfter after the third
		ids     EndID
	}

	// place is where an instance runs, or will again.
	place struct {
		name    string
		up      time.Time // from when on
		running []*run
	}

	run struct {
		of    Fingerprint
		from  Caller
		fatal bool
		stage Stage     // in which it began
		ends  time.Time // the run, or the instance
	}
)

func newOutbreak(seed uint64, places int, tell time.Duration) *outbreak {
	o := &outbreak{r: rand.New(rand.NewPCG(seed, 1)), tell: tell, next: 1000, tried: map[Fingerprint]int{}, ended: map[Fingerprint][]time.Time{}, later: map[Fingerprint]int{}}
	for i := range places {
		o.books = append(o.books, newTestBook())
		o.places = append(o.places, &place{name: strconv.Itoa(i), up: time.Now()})
	}
	return o
}

// come lets a request come in at a random node, which sends it to an instance
// and, if that refuses, to another.
func (o *outbreak) come(f Fingerprint, fatal bool, at int) {
	from := Caller("a")
	if at%2 == 1 {
		from = "b"
	}
	b := o.books[at]
	var up []*place
	for _, p := range o.places {
		if !p.up.After(time.Now()) && len(p.running) < atOnce {
			up = append(up, p)
		}
	}
	stage := b.Stage(f, from)
	if stage == Quarantined || len(up) == 0 {
		return
	}
	x := &run{of: f, from: from, fatal: fatal}
	if stage == Isolated {
		o.comeHome(x)
		return
	}
	o.begin(up[o.r.IntN(len(up))], x, laneTime)
}

// comeHome sends an isolated request to its home, and to the next one where
// nothing listens. An instance that ended stays listed for longer than it is
// gone.
func (o *outbreak) comeHome(x *run) {
	for left := slices.Clone(o.places); len(left) > 0; {
		p := Home(x.of, left, func(p *place) string { return p.name })[0]
		if o.bookOf(p).Stage(x.of, x.from) == Quarantined {
			return
		}
		if !p.up.After(time.Now()) {
			o.begin(p, x, laneTime)
			return
		}
		left = slices.DeleteFunc(left, func(o *place) bool { return o == p })
	}
}

// in does something some time later.
func (o *outbreak) in(wait time.Duration, f func()) {
	o.waiting = append(o.waiting, func() {
		if wait -= step; wait > 0 {
			o.in(wait, f)
			return
		}
		f()
	})
}

// begin is the node's part beside the instance.
func (o *outbreak) begin(p *place, x *run, wait time.Duration) {
	x.stage = o.bookOf(p).Stage(x.of, x.from)
	switch {
	case x.stage == Quarantined || p.up.After(time.Now()):
		return
	case p.keepsOut(x.stage):
		if wait > 0 {
			o.waiting = append(o.waiting, func() { o.begin(p, x, wait-step) })
		}
		return
	}
	work := workTime
	if x.fatal {
		o.tried[x.of]++
		work = time.Duration(30+o.r.IntN(100)) * time.Millisecond
	}
	x.ends = time.Now().Add(work)
	p.running = append(p.running, x)
}

// keepsOut reports whether a request of a stage has to wait.
func (p *place) keepsOut(s Stage) bool {
	for _, x := range p.running {
		if (s == Isolated && x.stage >= Suspect) || (s == Suspect && x.stage == Isolated) {
			return true
		}
	}
	return false
}

func (o *outbreak) bookOf(p *place) *Book {
	for i := range o.places {
		if o.places[i] == p {
			return o.books[i]
		}
	}
	return nil
}

// pass lets a step of time pass at an instance.
func (o *outbreak) pass(p *place) {
	now := time.Now()
	left := p.running[:0]
	crash := o.r.Float64() < o.flaps*step.Seconds()/float64(len(o.places)) && !p.up.After(now)
	for _, x := range p.running {
		switch {
		case x.ends.After(now):
			left = append(left, x)
		case x.fatal:
			crash = true
			left = append(left, x)
		default:
			o.answered(p, x)
		}
	}
	p.running = left
	if crash {
		o.crash(p)
	}
}

func (o *outbreak) answered(p *place, x *run) {
	b := o.bookOf(p)
	if b.Answered(x.of, x.from) {
		o.spread(b, x.of)
	}
}

func (o *outbreak) crash(p *place) {
	b := o.bookOf(p)
	o.ids++
	var of []Fingerprint
	again := p.running
	for _, x := range p.running {
		b.Ended(x.of, End{ID: o.ids, Caller: x.from, Alone: x.stage == Isolated})
		of = append(of, x.of)
		if !x.fatal {
			o.victims = append(o.victims, x.of)
			continue
		}
		o.ended[x.of] = append(o.ended[x.of], time.Now())
		if e := o.ended[x.of]; len(e) > 3 && time.Since(e[2]) > knownAfter {
			o.later[x.of]++
		}
	}
	p.running, p.up = nil, time.Now().Add(downTime)
	o.spread(b, of...)
	for _, x := range again {
		at := o.r.IntN(len(o.books))
		o.in(backTime, func() { o.come(x.of, x.fatal, at) }) // its caller tries again
	}
}

// spread lets all nodes know what one does, some time later.
func (o *outbreak) spread(b *Book, fs ...Fingerprint) {
	told := b.Of(fs)
	time.AfterFunc(o.tell, func() {
		for _, other := range o.books {
			other.Learn(told)
		}
	})
}

// play lets harmless requests come at a rate a second, and a fatal one each
// so often, for a time.
func (o *outbreak) play(d time.Duration, rate float64, fatal []Fingerprint, every time.Duration) {
	due := 0.0
	for at := time.Duration(0); at < d; at += step {
		for due += rate * step.Seconds(); due >= 1; due-- {
			o.next++
			o.come(o.next, false, o.r.IntN(len(o.books)))
		}
		if every > 0 && at%every == 0 {
			o.come(fatal[int(at/every)%len(fatal)], true, o.r.IntN(len(o.books)))
		}
		waiting := o.waiting
		o.waiting = nil
		for _, again := range waiting {
			again()
		}
		for _, p := range o.places {
			o.pass(p)
		}
		time.Sleep(step)
	}
}

// lost returns how many harmless requests no instance would run.
func (o *outbreak) lost() int {
	lost := map[Fingerprint]bool{}
	for _, f := range o.victims {
		if o.stage(f) == Quarantined {
			lost[f] = true
		}
	}
	return len(lost)
}

// stage is the worst for any caller.
func (o *outbreak) stage(f Fingerprint) Stage {
	return max(o.books[0].Stage(f, "a"), o.books[0].Stage(f, "b"))
}

// scene is an outbreak of some requests, each sent so often.
type scene struct {
	places int
	tell   time.Duration
	fatal  []Fingerprint
	every  time.Duration
	flaps  float64
}

func (c scene) play(t *testing.T, seed uint64) {
	name := fmt.Sprintf("%d instances, told after %s, %d fatal, each %s, %.1f flaps, seed %d", c.places, c.tell, len(c.fatal), c.every, c.flaps, seed)
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			o := newOutbreak(seed, c.places, c.tell)
			o.flaps = c.flaps
			rate := 40 * float64(c.places)
			Convey(name, t, func() {
				o.play(time.Second, rate, nil, 0)
				o.play(40*time.Second, rate, c.fatal, c.every)
				o.play(10*time.Second, rate, nil, 0)
				for _, f := range c.fatal {
					So(len(o.ended[f]), ShouldBeGreaterThanOrEqualTo, 3)
					So(o.later[f], ShouldBeLessThanOrEqualTo, furtherRuns)
					So(o.stage(f), ShouldEqual, Quarantined)
				}
				So(o.lost(), ShouldEqual, 0)
			})
			t.Logf("%d victims, fatal runs %v, later %v", len(o.victims), o.tried, o.later)
		})
	})
}

// A request ends one of six instances after the other, each with sixty others
// in progress, which their callers send again at once. However slowly nodes
// hear of it within a second, with one such request or three at a time, and
// with instances that end by themselves: after what is known everywhere, few
// more instances run it, and nothing that was beside it is kept out.
func TestAnOutbreakEndsAndTakesNobodyAlong(t *testing.T) {
	for _, c := range []scene{
		{6, 30 * time.Millisecond, []Fingerprint{1}, 300 * time.Millisecond, 0},
		{6, time.Second, []Fingerprint{1}, 500 * time.Millisecond, 0},
		{6, 30 * time.Millisecond, []Fingerprint{1}, 5 * time.Second, 0},
		threeAtOnce,
		besideEnds,
		{93, 50 * time.Millisecond, []Fingerprint{1, 2}, 200 * time.Millisecond, 0},
	} {
		for seed := range uint64(5) {
			c.play(t, seed)
		}
	}
}

var (
	threeAtOnce = scene{6, 30 * time.Millisecond, []Fingerprint{1, 2, 3}, 200 * time.Millisecond, 0}
	besideEnds  = scene{6, 30 * time.Millisecond, []Fingerprint{1}, 400 * time.Millisecond, 0.5}
)

// Three requests end instances at the same time. A harmless one was beside
// each of them: it came twice where an instance ended, and ran isolated, the
// only suspect, where another that nobody knew yet began. It stayed out for a
// whole term, though the other one ended more instances elsewhere.
func TestThreeOutbreaksAtOnceTakeNobodyAlong(t *testing.T) {
	for _, seed := range []uint64{35, 42, 54, 90} {
		threeAtOnce.play(t, seed)
	}
}

// An instance ends by itself every two seconds while a request ends others. A
// harmless one was at two ends, and the instance at which it then ran isolated
// ended by itself: it stays out for a term, as nothing explains that end.
func TestAnOutbreakBesideEndsOfOtherCauseTakesNobodyAlong(t *testing.T) {
	besideEnds.play(t, 43)
}

// All nodes are killed at once while a request is quarantined, and know nothing
// when they are back. The request comes again and is learnt anew: three ends,
// and a fourth where those were all under requests of one caller and another
// caller's comes. That is one more than may run it so long after the third.
func TestAnOutbreakThatAllNodesForgotEndsAgain(t *testing.T) {
	for _, seed := range forgottenSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("Few instances run it in all", t, func() {
					o := newOutbreak(seed, 6, 8*time.Millisecond)
					o.play(time.Second, 240, nil, 0)
					o.play(15*time.Second, 240, []Fingerprint{1}, 700*time.Millisecond)
					for i := range o.books {
						o.books[i] = newTestBook()
					}
					o.play(20*time.Second, 240, []Fingerprint{1}, 700*time.Millisecond)
					So(o.later[1], ShouldBeLessThanOrEqualTo, furtherRuns)
				})
			})
		})
	}
}

var forgottenSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19}
