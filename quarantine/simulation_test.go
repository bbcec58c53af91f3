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
	tick = 5 * time.Millisecond
	// maxConcurrent is the number of requests in progress at an instance.
	maxConcurrent = 60
	workTime      = 220 * time.Millisecond
	downTime      = 3 * time.Second
	// retryDelay is the time until a caller's retry arrives on a new
	// connection.
	retryDelay = 10 * time.Millisecond
	// isolationTimeout bounds the wait for requests that exclude this one.
	isolationTimeout = time.Second
	// convergenceTime is how long after a request's third exit every node must
	// know of it. From then on, the request may crash at most maxLateExits
	// instances.
	convergenceTime = 3 * time.Second
	maxLateExits    = 3
)

type (
	// simulation runs a service's instances under mostly harmless requests,
	// each with its own fingerprint, and a few poison ones that crash every
	// instance that runs them. Each instance has a node with a Tracker. Changes
	// to one Tracker reach the others after the propagation delay.
	simulation struct {
		rng              *rand.Rand
		trackers         []*Tracker
		instances        []*instance
		propagation      time.Duration
		spontaneousExits float64 // per second

		next       Fingerprint         // of the next harmless request
		scheduled  []func()            // to be called at the next tick
		bystanders []Fingerprint       // harmless requests in progress when an instance exited
		poisonRuns map[Fingerprint]int // number of times each poison request ran
		exits      map[Fingerprint][]time.Time
		lateExits  map[Fingerprint]int // exits later than convergenceTime after the third
		lastID     ExitID
	}

	instance struct {
		name       string
		upSince    time.Time // in the future while the instance is down
		executions []*execution
	}

	execution struct {
		fingerprint Fingerprint
		caller      Caller
		poison      bool
		stage       Stage     // at the start
		endsAt      time.Time // end of the execution or, if poison, exit of the instance
	}
)

func newSimulation(seed uint64, instances int, propagation time.Duration) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 1)), propagation: propagation, next: 1000, poisonRuns: map[Fingerprint]int{}, exits: map[Fingerprint][]time.Time{}, lateExits: map[Fingerprint]int{}}
	for i := range instances {
		s.trackers = append(s.trackers, newTestTracker())
		s.instances = append(s.instances, &instance{name: strconv.Itoa(i), upSince: time.Now()})
	}
	return s
}

// arrive simulates a request at a node, which routes it to an instance.
func (s *simulation) arrive(f Fingerprint, poison bool, node int) {
	caller := Caller("a")
	if node%2 == 1 {
		caller = "b"
	}
	tracker := s.trackers[node]
	var candidates []*instance
	for _, in := range s.instances {
		if !in.upSince.After(time.Now()) && len(in.executions) < maxConcurrent {
			candidates = append(candidates, in)
		}
	}
	stage := tracker.Stage(f, caller)
	if stage == Quarantined || len(candidates) == 0 {
		return
	}
	e := &execution{fingerprint: f, caller: caller, poison: poison}
	if stage == Isolated {
		s.runIsolated(e)
		return
	}
	s.start(candidates[s.rng.IntN(len(candidates))], e, isolationTimeout)
}

// runIsolated routes an isolated request to the instance selected for it, or to
// the next one if that is down: an exited instance stays listed for a while.
func (s *simulation) runIsolated(e *execution) {
	for remaining := slices.Clone(s.instances); len(remaining) > 0; {
		in := IsolationInstance(e.fingerprint, remaining, func(in *instance) string { return in.name })[0]
		if s.trackerOf(in).Stage(e.fingerprint, e.caller) == Quarantined {
			return
		}
		if !in.upSince.After(time.Now()) {
			s.start(in, e, isolationTimeout)
			return
		}
		remaining = slices.DeleteFunc(remaining, func(other *instance) bool { return other == in })
	}
}

// schedule calls f after a delay.
func (s *simulation) schedule(delay time.Duration, f func()) {
	s.scheduled = append(s.scheduled, func() {
		if delay -= tick; delay > 0 {
			s.schedule(delay, f)
			return
		}
		f()
	})
}

// start runs a request at an instance. If it is blocked there, start tries again
// at each tick until the timeout.
func (s *simulation) start(in *instance, e *execution, timeout time.Duration) {
	e.stage = s.trackerOf(in).Stage(e.fingerprint, e.caller)
	switch {
	case e.stage == Quarantined || in.upSince.After(time.Now()):
		return
	case in.blocks(e.stage):
		if timeout > 0 {
			s.scheduled = append(s.scheduled, func() { s.start(in, e, timeout-tick) })
		}
		return
	}
	work := workTime
	if e.poison {
		s.poisonRuns[e.fingerprint]++
		work = time.Duration(30+s.rng.IntN(100)) * time.Millisecond
	}
	e.endsAt = time.Now().Add(work)
	in.executions = append(in.executions, e)
}

// blocks reports whether a request at a stage has to wait.
func (in *instance) blocks(s Stage) bool {
	for _, e := range in.executions {
		if (s == Isolated && e.stage >= Suspect) || (s == Suspect && e.stage == Isolated) {
			return true
		}
	}
	return false
}

func (s *simulation) trackerOf(in *instance) *Tracker {
	for i := range s.instances {
		if s.instances[i] == in {
			return s.trackers[i]
		}
	}
	return nil
}

// advance simulates one tick at an instance.
func (s *simulation) advance(in *instance) {
	now := time.Now()
	remaining := in.executions[:0]
	crash := s.rng.Float64() < s.spontaneousExits*tick.Seconds()/float64(len(s.instances)) && !in.upSince.After(now)
	for _, e := range in.executions {
		switch {
		case e.endsAt.After(now):
			remaining = append(remaining, e)
		case e.poison:
			crash = true
			remaining = append(remaining, e)
		default:
			s.recordAnswer(in, e)
		}
	}
	in.executions = remaining
	if crash {
		s.crash(in)
	}
}

func (s *simulation) recordAnswer(in *instance, e *execution) {
	tracker := s.trackerOf(in)
	if tracker.RecordAnswer(e.fingerprint, e.caller) {
		s.propagate(tracker, e.fingerprint)
	}
}

func (s *simulation) crash(in *instance) {
	tracker := s.trackerOf(in)
	s.lastID++
	var fingerprints []Fingerprint
	interrupted := in.executions
	for _, e := range in.executions {
		tracker.RecordExit(e.fingerprint, Exit{ID: s.lastID, Caller: e.caller, Isolated: e.stage == Isolated})
		fingerprints = append(fingerprints, e.fingerprint)
		if !e.poison {
			s.bystanders = append(s.bystanders, e.fingerprint)
			continue
		}
		s.exits[e.fingerprint] = append(s.exits[e.fingerprint], time.Now())
		if exits := s.exits[e.fingerprint]; len(exits) > 3 && time.Since(exits[2]) > convergenceTime {
			s.lateExits[e.fingerprint]++
		}
	}
	in.executions, in.upSince = nil, time.Now().Add(downTime)
	s.propagate(tracker, fingerprints...)
	for _, e := range interrupted {
		at := s.rng.IntN(len(s.trackers))
		s.schedule(retryDelay, func() { s.arrive(e.fingerprint, e.poison, at) }) // retry by the caller
	}
}

// propagate sends a Tracker's records to all nodes after the propagation
// delay.
func (s *simulation) propagate(tracker *Tracker, fs ...Fingerprint) {
	report := tracker.Records(fs)
	time.AfterFunc(s.propagation, func() {
		for _, other := range s.trackers {
			other.Merge(report)
		}
	})
}

// run simulates harmless requests at a rate per second, and a poison one at
// each interval, for a duration.
func (s *simulation) run(d time.Duration, rate float64, poison []Fingerprint, interval time.Duration) {
	due := 0.0
	for elapsed := time.Duration(0); elapsed < d; elapsed += tick {
		for due += rate * tick.Seconds(); due >= 1; due-- {
			s.next++
			s.arrive(s.next, false, s.rng.IntN(len(s.trackers)))
		}
		if interval > 0 && elapsed%interval == 0 {
			s.arrive(poison[int(elapsed/interval)%len(poison)], true, s.rng.IntN(len(s.trackers)))
		}
		pending := s.scheduled
		s.scheduled = nil
		for _, f := range pending {
			f()
		}
		for _, in := range s.instances {
			s.advance(in)
		}
		time.Sleep(tick)
	}
}

// quarantinedBystanders returns the number of harmless requests that are
// quarantined.
func (s *simulation) quarantinedBystanders() int {
	quarantined := map[Fingerprint]bool{}
	for _, f := range s.bystanders {
		if s.worstStage(f) == Quarantined {
			quarantined[f] = true
		}
	}
	return len(quarantined)
}

// worstStage returns the highest stage for any caller.
func (s *simulation) worstStage(f Fingerprint) Stage {
	return max(s.trackers[0].Stage(f, "a"), s.trackers[0].Stage(f, "b"))
}

type scenario struct {
	instances        int
	propagation      time.Duration
	poison           []Fingerprint
	interval         time.Duration
	spontaneousExits float64
}

func (c scenario) run(t *testing.T, seed uint64) {
	name := fmt.Sprintf("%d instances, propagation %s, %d poison requests every %s, %.1f spontaneous exits/s, seed %d", c.instances, c.propagation, len(c.poison), c.interval, c.spontaneousExits, seed)
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSimulation(seed, c.instances, c.propagation)
			s.spontaneousExits = c.spontaneousExits
			rate := 40 * float64(c.instances)
			Convey(name, t, func() {
				s.run(time.Second, rate, nil, 0)
				s.run(40*time.Second, rate, c.poison, c.interval)
				s.run(10*time.Second, rate, nil, 0)
				for _, f := range c.poison {
					So(len(s.exits[f]), ShouldBeGreaterThanOrEqualTo, 3)
					So(s.lateExits[f], ShouldBeLessThanOrEqualTo, maxLateExits)
					So(s.worstStage(f), ShouldEqual, Quarantined)
				}
				So(s.quarantinedBystanders(), ShouldEqual, 0)
			})
			t.Logf("%d bystanders, poison runs %v, late exits %v", len(s.bystanders), s.poisonRuns, s.lateExits)
		})
	})
}

// Poison requests crash instances with sixty others in progress each, and
// callers retry at once. With slow propagation, several poison requests or
// spontaneous exits, few more instances may exit, and no harmless request may
// be quarantined.
func TestPoisonRequestsAreContained(t *testing.T) {
	for _, c := range []scenario{
		{6, 30 * time.Millisecond, []Fingerprint{1}, 300 * time.Millisecond, 0},
		{6, time.Second, []Fingerprint{1}, 500 * time.Millisecond, 0},
		{6, 30 * time.Millisecond, []Fingerprint{1}, 5 * time.Second, 0},
		threeConcurrent,
		withSpontaneousExits,
		{93, 50 * time.Millisecond, []Fingerprint{1, 2}, 200 * time.Millisecond, 0},
	} {
		for seed := range uint64(5) {
			c.run(t, seed)
		}
	}
}

var (
	threeConcurrent      = scenario{6, 30 * time.Millisecond, []Fingerprint{1, 2, 3}, 200 * time.Millisecond, 0}
	withSpontaneousExits = scenario{6, 30 * time.Millisecond, []Fingerprint{1}, 400 * time.Millisecond, 0.5}
)

// A harmless request that ran isolated, concurrently with a poison one not yet
// known, must not stay quarantined once the poison one has crashed other
// instances.
func TestThreeConcurrentPoisonRequests(t *testing.T) {
	for _, seed := range []uint64{35, 42, 54, 90} {
		threeConcurrent.run(t, seed)
	}
}

// An instance exits spontaneously every two seconds. A harmless request that was
// isolated at such an exit must not be quarantined for a full term.
func TestPoisonRequestAmongSpontaneousExits(t *testing.T) {
	withSpontaneousExits.run(t, 43)
}

// All nodes restart without state while a request is quarantined. It may crash
// at most maxLateExits more instances.
func TestPoisonRequestAfterFullRestart(t *testing.T) {
	for _, seed := range restartSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				Convey("The request crashes few instances after convergence", t, func() {
					s := newSimulation(seed, 6, 8*time.Millisecond)
					s.run(time.Second, 240, nil, 0)
					s.run(15*time.Second, 240, []Fingerprint{1}, 700*time.Millisecond)
					for i := range s.trackers {
						s.trackers[i] = newTestTracker()
					}
					s.run(20*time.Second, 240, []Fingerprint{1}, 700*time.Millisecond)
					So(s.lateExits[1], ShouldBeLessThanOrEqualTo, maxLateExits)
				})
			})
		})
	}
}

var restartSeeds = []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19}
