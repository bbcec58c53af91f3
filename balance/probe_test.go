package balance

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// probeFixture sends requests to an instance and to an idle one beside it.
type probeFixture struct {
	t             *testing.T
	b             *Balancer
	former, idle  directory.Instance
	nonIdempotent bool
}

func newProbeFixture(t *testing.T, last Outcome) *probeFixture {
	f := &probeFixture{
		t:      t,
		b:      New(Config{DC: "nord", Weights: DefaultWeights()}),
		former: directory.Instance{ID: "former", DC: "nord", Slots: 20},
		idle:   directory.Instance{ID: "idle", DC: "nord", Slots: 20},
	}
	for range 50 {
		c := f.pick(f.former)
		f.b.Done(c.Incarnation(), last)
	}
	return f
}

func (f *probeFixture) pick(among ...directory.Instance) Choice {
	c, ok := f.b.Pick(PickRequest{Instances: among, NonIdempotent: f.nonIdempotent})
	if !ok {
		f.t.Error("no instance was picked")
	}
	return c
}

// run sends a request every millisecond for a period and returns how many the former
// instance got, each with the outcome next.
func (f *probeFixture) run(period time.Duration, next Outcome) (n int) {
	for from := time.Now(); time.Since(from) < period; time.Sleep(time.Millisecond) {
		c := f.pick(f.former, f.idle)
		if c.ID == f.former.ID {
			f.b.Done(c.Incarnation(), next)
			n++
			continue
		}
		f.b.Done(c.Incarnation(), Outcome{Latency: time.Millisecond, Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 1}})
	}
	return n
}

// Guards against an instance that stays unused for good, or for over a minute,
// because of what it last reported while others have room.
func TestRecoveredInstanceIsUsedBesideIdleOnes(t *testing.T) {
	recovered := Outcome{Latency: time.Millisecond, Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 1}}
	for _, c := range []struct {
		name string
		last Outcome
	}{
		{"A few requests in flight", Outcome{Load: &call.Load{InFlight: 3, Limit: 20, Slowdown: 1}}},
		{"A queue", Outcome{Load: &call.Load{InFlight: 20, Queued: 60, Limit: 20, Slowdown: 1}}},
		{"Failed requests", Outcome{Failed: true, Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 1}}},
		{"A failure rate", Outcome{Load: &call.Load{InFlight: 1, Limit: 20, FailureRate: 1, Slowdown: 1}}},
		{"A slowdown", Outcome{Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 6}}},
	} {
		synctest.Test(t, func(t *testing.T) {
			Convey(c.name, t, func() {
				f := newProbeFixture(t, c.last)
				So(f.run(time.Second, recovered), ShouldEqual, 0)
				So(f.run(4*time.Second, recovered), ShouldBeGreaterThan, 0)
			})
		})
	}
}

// Guards against requests that are lost to an instance that goes on failing, although
// others have room.
func TestFailingInstanceIsProbedLessAndLess(t *testing.T) {
	failing := Outcome{Failed: true, Load: &call.Load{InFlight: 1, Limit: 20, FailureRate: 1, Slowdown: 1}}
	synctest.Test(t, func(t *testing.T) {
		Convey("It gets few reads", t, func() {
			f := newProbeFixture(t, failing)
			So(f.run(64*time.Second, failing), ShouldBeBetween, 3, 7)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("It gets one read at a time if it doesn't answer", t, func() {
			f := newProbeFixture(t, failing)
			time.Sleep(probeInterval)
			n := 0
			for range 1000 {
				c := f.pick(f.former, f.idle)
				if c.ID == f.former.ID {
					n++
					continue
				}
				f.b.Done(c.Incarnation(), Outcome{Latency: time.Millisecond, Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 1}})
			}
			So(n, ShouldEqual, 1)
		})
	})
	synctest.Test(t, func(t *testing.T) {
		Convey("It gets no request that must not be repeated", t, func() {
			f := newProbeFixture(t, failing)
			f.nonIdempotent = true
			So(f.run(maxProbeInterval, failing), ShouldEqual, 0)
		})
	})
}

// Guards against requests to another data centre that local instances could serve.
func TestRemoteInstanceIsNotProbedBesideIdleLocalOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A remote instance without a recent outcome gets no reads", t, func() {
			f := newProbeFixture(t, Outcome{Latency: time.Millisecond, Load: &call.Load{InFlight: 1, Limit: 20, Slowdown: 1}})
			f.former.DC = "sued"
			So(f.run(30*time.Second, Outcome{}), ShouldEqual, 0)
		})
	})
}
