package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var instances = []directory.Instance{
	{ID: "near", DC: "nord", Slots: 60},
	{ID: "far", DC: "sued", Slots: 60},
}

// countPicks sends n sequential requests, each with the result returned by
// outcome, and counts them by instance.
func countPicks(b *Balancer, n int, outcome func(id directory.InstanceID) Outcome) map[directory.InstanceID]int {
	count := map[directory.InstanceID]int{}
	for range n {
		in, ok := b.Pick(PickRequest{Instances: instances})
		So(ok, ShouldBeTrue)
		count[in.ID]++
		b.Done(in.Incarnation(), outcome(in.ID))
		time.Sleep(time.Millisecond)
	}
	return count
}

func loadOf(inFlight int) *call.Load { return &call.Load{InFlight: inFlight, Limit: 60} }

func TestLocalDataCentreIsPreferredUntilBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The local instance is used until it is nearly full", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			idle := func(directory.InstanceID) Outcome { return Outcome{Latency: time.Millisecond, Load: loadOf(10)} }
			So(countPicks(b, 100, idle)["near"], ShouldEqual, 100)
			busy := func(id directory.InstanceID) Outcome {
				if id == "near" {
					return Outcome{Latency: time.Millisecond, Load: loadOf(58)}
				}
				return idle(id)
			}
			So(countPicks(b, 100, busy)["far"], ShouldBeGreaterThan, 90)
		})
	})
}

// A failing instance has free slots, so by utilization alone it would
// attract the most requests. It must get few, and its share again after it
// has recovered.
func TestFailingInstanceIsAvoidedUntilItRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Failures reduce an instance's share temporarily", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			n := 0
			failing := func(id directory.InstanceID) Outcome {
				n++
				return Outcome{Failed: id == "near" && n%2 == 0, Load: loadOf(10)}
			}
			countPicks(b, 50, failing)
			So(countPicks(b, 200, failing)["near"], ShouldBeLessThan, 40)
			healthy := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(10)} }
			time.Sleep(20 * time.Second)
			countPicks(b, 100, healthy)
			So(countPicks(b, 100, healthy)["near"], ShouldBeGreaterThan, 90)
		})
	})
}

// An instance's node sees the failures of all callers. Its report must take
// effect with one response, before several of this node's own requests fail.
func TestReportedFailuresTakeEffectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("One report is enough, and its effect expires", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			reported := func(id directory.InstanceID) Outcome {
				l := loadOf(10)
				if id == "near" {
					l.FailureRate = 0.4
				}
				return Outcome{Load: l}
			}
			So(countPicks(b, 100, reported)["near"], ShouldEqual, 1)
			time.Sleep(20 * time.Second)
			healthy := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(10)} }
			So(countPicks(b, 100, healthy)["near"], ShouldEqual, 100)
		})
	})
}

// A slow instance with free slots must lose requests to another data centre,
// while a mix of short and long routes must not be taken for slowness.
func TestSlowInstanceGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Relative latency is independent of the mix of routes", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			slow := time.Duration(1)
			run := func(n int) int {
				near := 0
				for i := range n {
					in, _ := b.Pick(PickRequest{Instances: instances})
					o := Outcome{Route: "short", Latency: 15 * time.Millisecond, Load: loadOf(10)}
					if i%5 == 0 {
						o.Route, o.Latency = "long", 500*time.Millisecond
					}
					if in.ID == "near" {
						near++
						o.Latency *= slow
					}
					b.Done(in.Incarnation(), o)
					time.Sleep(time.Millisecond)
				}
				return near
			}
			So(run(300), ShouldEqual, 300)
			slow = 5
			run(60)
			So(run(300), ShouldBeLessThan, 100)
		})
	})
}

// A non-idempotent request to a slow instance may exceed its time limit and
// cannot be retried, so it must go to a faster instance in another data
// centre. Reads, which can be retried, stay local.
func TestActionNearItsDeadlineGoesToFastInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Approvals go to the fast remote instance, reads to the local one", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			run := func(req PickRequest, typical time.Duration, n int) (near int) {
				req.Instances = instances
				for range n {
					in, _ := b.Pick(req)
					o := Outcome{Route: req.Route, Latency: typical, Load: loadOf(6)}
					if in.ID == "near" {
						near++
						o.Latency = typical * 3 / 2
					}
					b.Done(in.Incarnation(), o)
					time.Sleep(10 * time.Millisecond)
				}
				return near
			}
			approve := PickRequest{Route: "approve", Instances: instances, NonIdempotent: true, TimeLimit: 1500 * time.Millisecond}
			run(approve, 450*time.Millisecond, 2000)
			So(run(approve, 450*time.Millisecond, 300), ShouldBeLessThan, 45)
			So(run(PickRequest{Route: "read"}, 400*time.Millisecond, 300), ShouldBeGreaterThan, 270)
			Convey("Approvals do not go to a full instance", func() {
				in, _ := b.Pick(approve)
				b.Done(in.Incarnation(), Outcome{})
				b.states[directory.Incarnation{ID: "far"}].load = *loadOf(60)
				near := 0
				for range 100 {
					in, _ := b.Pick(approve)
					if in.ID == "near" {
						near++
					}
					b.Done(in.Incarnation(), Outcome{})
				}
				So(near, ShouldBeGreaterThan, 90)
			})
		})
	})
}

// Each attempt to reach an unreachable node costs a dial timeout, so it is
// retried only after a backoff, or if no other instance is left.
func TestUnreachableInstanceIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It is avoided during the backoff unless no other instance is left", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			in, _ := b.Pick(PickRequest{Instances: instances})
			b.Done(in.Incarnation(), Outcome{Unreachable: true})
			healthy := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(1)} }
			So(countPicks(b, 500, healthy)["near"], ShouldEqual, 0)
			in, ok := b.Pick(PickRequest{Instances: instances, Tried: []directory.InstanceID{"far"}})
			So(ok, ShouldBeTrue)
			So(in.ID, ShouldEqual, directory.InstanceID("near"))
			b.Done(directory.Incarnation{ID: "near"}, Outcome{Unreachable: true})
			time.Sleep(unreachableBackoff)
			So(countPicks(b, 10, healthy)["near"], ShouldEqual, 10)
		})
	})
}

func TestLeavingAndTriedInstancesAreNotPicked(t *testing.T) {
	Convey("Neither a leaving instance nor one already tried is picked", t, func() {
		b := New(Config{DC: "nord", Weights: DefaultWeights()})
		leaving := []directory.Instance{{ID: "a", Leaving: true}, {ID: "b"}}
		in, ok := b.Pick(PickRequest{Instances: leaving})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("b"))
		_, ok = b.Pick(PickRequest{Instances: leaving, Tried: []directory.InstanceID{"b"}})
		So(ok, ShouldBeFalse)
	})
}

// Unconfirmed instances may have left. They must be used only if there is no
// other instance at all.
func TestUnconfirmedInstancesAreLastResort(t *testing.T) {
	Convey("An unconfirmed instance is picked only if there is no other at all", t, func() {
		b := New(Config{DC: "nord", Weights: DefaultWeights()})
		some := []directory.Instance{{ID: "a", Unconfirmed: true}, {ID: "b"}}
		in, ok := b.Pick(PickRequest{Instances: some})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("b"))
		_, ok = b.Pick(PickRequest{Instances: some, Tried: []directory.InstanceID{"b"}})
		So(ok, ShouldBeFalse)
		all := []directory.Instance{{ID: "a", Unconfirmed: true}, {ID: "b", Leaving: true}}
		in, ok = b.Pick(PickRequest{Instances: all})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("a"))
	})
}

// BenchmarkPick measures picking among 10 and 100 instances, with and
// without sampling.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 100} {
		for _, sample := range []int{0, sampleSize} {
			b.Run(fmt.Sprintf("instances=%d/sample=%d", size, sample), func(b *testing.B) {
				w := DefaultWeights()
				w.SampleSize = sample
				bal := New(Config{DC: "dc-0", Weights: w})
				var ins, near []directory.Instance
				for i := range size {
					in := directory.Instance{ID: directory.InstanceID(fmt.Sprint("i-", i)), DC: callgraph.DC(fmt.Sprint("dc-", i%5)), Slots: 100}
					ins = append(ins, in)
					if in.DC == "dc-0" {
						near = append(near, in)
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					in, _ := bal.Pick(PickRequest{Instances: ins, SameDC: near})
					bal.Done(in.Incarnation(), Outcome{Latency: time.Millisecond})
				}
			})
		}
	}
}

// The data on an instance must not be applied to its next run under the same
// ID, and requests to the former run that end later must not affect it.
func TestRestartedInstanceStartsWithoutHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The restarted local instance gets all requests again", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			first := []directory.Instance{{ID: "near", DC: "nord", Slots: 60, Started: 1000}, {ID: "far", DC: "sued", Slots: 60, Started: 1000}}
			var outstanding []directory.Instance
			for range 100 {
				in, _ := b.Pick(PickRequest{Instances: first})
				if in.ID == "near" && len(outstanding) < 10 {
					outstanding = append(outstanding, in.Instance)
					continue
				}
				b.Done(in.Incarnation(), Outcome{Failed: in.ID == "near", Load: loadOf(50)})
			}
			restarted := []directory.Instance{{ID: "near", DC: "nord", Slots: 60, Started: 2000}, first[1]}
			for _, in := range outstanding {
				b.Done(in.Incarnation(), Outcome{Failed: true, Leaving: true})
			}
			near := 0
			for range 100 {
				in, _ := b.Pick(PickRequest{Instances: restarted})
				if in.ID == "near" {
					near++
				}
				b.Done(in.Incarnation(), Outcome{Latency: time.Millisecond, Load: loadOf(5)})
			}
			So(near, ShouldEqual, 100)
		})
	})
}

// Guards against a node that forgets the rate limit of an instance whose entry
// is missing for a while, and then cannot tell a restarted node of it.
func TestStatedRateLimitOutlastsListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The limit is known for a minute, unless the instance ends it", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			instances := []directory.Instance{{ID: "i", DC: "nord", Slots: 60}}
			done := func(o Outcome) float64 {
				to, ok := b.Pick(PickRequest{Instances: instances})
				So(ok, ShouldBeTrue)
				b.Done(to.Incarnation(), o)
				return to.RateLimit
			}
			done(Outcome{Load: loadOf(1), RateLimit: 3})
			b.Prune(&directory.View{})
			So(done(Outcome{Unreachable: true}), ShouldEqual, 3)
			So(done(Outcome{Load: loadOf(1)}), ShouldEqual, 3)
			So(done(Outcome{Load: loadOf(1), RateLimit: 3}), ShouldEqual, 0)
			time.Sleep(rateLimitMemory + time.Second)
			b.Prune(&directory.View{})
			So(b.HasState(directory.Incarnation{ID: "i"}), ShouldBeFalse)
		})
	})
}

// Guards against a rate limit that is forgotten, and with it what the instance's
// node is told when it restarts, because it was stated before the run was listed.
func TestRateLimitOfUnlistedRunIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := call.UnixMilli(time.Now().UnixMilli())
		for _, c := range []struct {
			name string
			upAt call.UnixMilli
			want float64
		}{
			{"the present run stated it", started + 1, 0.5},
			{"the run before stated it", started - 1, 0},
			{"a former version of the node does not say", 0, 0},
		} {
			Convey("Where "+c.name, t, func() {
				b := New(Config{DC: "nord", Weights: DefaultWeights()})
				former := directory.Instance{ID: "i", DC: "nord", Slots: 60, Service: "s", Addr: "a:1", Started: started - 1000}
				r, err := directory.NewRoutes(1, directory.Limits{}, []directory.Route{{Name: "r", Host: "h", Prefix: "/", MaxInstances: 1, Shares: []directory.Share{{Service: "s", Weight: 1}}}})
				So(err, ShouldBeNil)
				d := directory.New(directory.Config{Log: &log.Logger{Handler: discard.New()}})
				_, ok := b.Pick(PickRequest{Instances: []directory.Instance{former}})
				So(ok, ShouldBeTrue)
				b.Done(former.Incarnation(), Outcome{Load: loadOf(1), RateLimit: 0.5, UpAt: c.upAt})
				present := former
				present.Started, present.Revision = started, 2
				d.Replace(directory.Snapshot{Revision: 2, Routes: r, Instances: []directory.Instance{present}})
				for range 2 {
					b.Prune(d.View())
				}
				got, ok := b.Pick(PickRequest{Instances: []directory.Instance{present}})
				So(ok, ShouldBeTrue)
				So(got.RateLimit, ShouldEqual, c.want)
				if c.want != 0 {
					So(got.RateLimitUpAt, ShouldEqual, c.upAt)
				}
			})
		}
	})
}
