package balance

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

var instances = []directory.Instance{
	{ID: "near", DC: "nord", Slots: 60},
	{ID: "far", DC: "sued", Slots: 60},
}

// picks sends n requests one after the other, each ending with the outcome
// that end gives, and counts where they went.
func picks(b *Balancer, n int, end func(id directory.InstanceID) Outcome) map[directory.InstanceID]int {
	count := map[directory.InstanceID]int{}
	for range n {
		in, ok := b.Pick(Ask{Instances: instances})
		So(ok, ShouldBeTrue)
		count[in.ID]++
		b.Done(in.Start(), end(in.ID))
		time.Sleep(time.Millisecond)
	}
	return count
}

func loadOf(busy int) *call.Load { return &call.Load{Busy: busy, Limit: 60} }

func TestTheNearInstanceIsFilledBeforeTheFarOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Bytes between data centres are dear, waiting is dearer", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			fine := func(directory.InstanceID) Outcome { return Outcome{Took: time.Millisecond, Load: loadOf(10)} }
			So(picks(b, 100, fine)["near"], ShouldEqual, 100)
			busy := func(id directory.InstanceID) Outcome {
				if id == "near" {
					return Outcome{Took: time.Millisecond, Load: loadOf(58)}
				}
				return fine(id)
			}
			So(picks(b, 100, busy)["far"], ShouldBeGreaterThan, 90)
		})
	})
}

// An instance fails half its requests while its health check is good. Its
// slots are free, so by load alone it would get the most. It must get few,
// and its share back once it has mended.
func TestAnInstanceThatFailsGetsFewRequestsUntilItMends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Failures drive requests away, for a while", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			n := 0
			grey := func(id directory.InstanceID) Outcome {
				n++
				return Outcome{Failed: id == "near" && n%2 == 0, Load: loadOf(10)}
			}
			picks(b, 50, grey)
			So(picks(b, 200, grey)["near"], ShouldBeLessThan, 40)
			fine := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(10)} }
			time.Sleep(20 * time.Second)
			picks(b, 100, fine)
			So(picks(b, 100, fine)["near"], ShouldBeGreaterThan, 90)
		})
	})
}

// Two fifths of an instance's answers are lost. Sixteen nodes send it a few
// actions a second each, which cannot be sent again; by its own requests a
// node knows of it only after it has lost several. The node beside the
// instance sees all of them, and its next answer tells.
func TestAnInstanceWhoseNodeTellsOfFailuresIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("One answer that tells is enough, and it is believed for a while", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			told := func(id directory.InstanceID) Outcome {
				l := loadOf(10)
				if id == "near" {
					l.Failing = 0.4
				}
				return Outcome{Load: l}
			}
			So(picks(b, 100, told)["near"], ShouldEqual, 1)
			time.Sleep(20 * time.Second)
			fine := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(10)} }
			So(picks(b, 100, fine)["near"], ShouldEqual, 100)
		})
	})
}

// An instance turns five times slower while its slots are still free. Its
// requests would come too late; they are to go to the other data centre. The
// routes mix short and long requests, which says nothing of speed.
func TestASlowInstanceGetsFewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Speed is told apart from the mix of requests", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			slow := time.Duration(1)
			run := func(n int) int {
				near := 0
				for i := range n {
					in, _ := b.Pick(Ask{Instances: instances})
					o := Outcome{Route: "short", Took: 15 * time.Millisecond, Load: loadOf(10)}
					if i%5 == 0 {
						o.Route, o.Took = "long", 500*time.Millisecond
					}
					if in.ID == "near" {
						near++
						o.Took *= slow
					}
					b.Done(in.Start(), o)
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

// The only approval instance of a data centre is slow: it takes half as long
// again as the others, and one approval in thirty runs out of its 1.5 s there
// and is lost, since it may have run. There is room elsewhere. Reads, which
// can be made again, stay near.
func TestATightActionGoesToAFastInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Approvals go to the far, fast instance, reads to the near one", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			run := func(a Ask, usual time.Duration, n int) (near int) {
				a.Instances = instances
				for range n {
					in, _ := b.Pick(a)
					o := Outcome{Route: a.Route, Took: usual, Load: loadOf(6)}
					if in.ID == "near" {
						near++
						o.Took = usual * 3 / 2
					}
					b.Done(in.Start(), o)
					time.Sleep(10 * time.Millisecond)
				}
				return near
			}
			approve := Ask{Route: "approve", Instances: instances, Once: true, Time: 1500 * time.Millisecond}
			run(approve, 450*time.Millisecond, 2000)
			So(run(approve, 450*time.Millisecond, 300), ShouldBeLessThan, 45)
			So(run(Ask{Route: "read"}, 400*time.Millisecond, 300), ShouldBeGreaterThan, 270)
			Convey("But not to one that is full", func() {
				in, _ := b.Pick(approve)
				b.Done(in.Start(), Outcome{})
				b.states[directory.Start{ID: "far"}].load = *loadOf(60)
				near := 0
				for range 100 {
					in, _ := b.Pick(approve)
					if in.ID == "near" {
						near++
					}
					b.Done(in.Start(), Outcome{})
				}
				So(near, ShouldBeGreaterThan, 90)
			})
		})
	})
}

// A node cannot be reached. Each request that tries it first loses the time
// of a dial; it is to be tried again once in a while only, and it must still
// be tried when it is the only one.
func TestAnUnreachableInstanceIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It is left alone for a second, unless nothing else is left", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			in, _ := b.Pick(Ask{Instances: instances})
			b.Done(in.Start(), Outcome{Unreachable: true})
			fine := func(directory.InstanceID) Outcome { return Outcome{Load: loadOf(1)} }
			So(picks(b, 500, fine)["near"], ShouldEqual, 0)
			in, ok := b.Pick(Ask{Instances: instances, Tried: []directory.InstanceID{"far"}})
			So(ok, ShouldBeTrue)
			So(in.ID, ShouldEqual, directory.InstanceID("near"))
			b.Done(directory.Start{ID: "near"}, Outcome{Unreachable: true})
			time.Sleep(unreachablePause)
			So(picks(b, 10, fine)["near"], ShouldEqual, 10)
		})
	})
}

func TestLeavingAndTriedInstancesGetNothing(t *testing.T) {
	Convey("Neither an instance that leaves nor one already asked is picked", t, func() {
		b := New(Config{DC: "nord", Weights: Usual()})
		leaving := []directory.Instance{{ID: "a", Leaving: true}, {ID: "b"}}
		in, ok := b.Pick(Ask{Instances: leaving})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("b"))
		_, ok = b.Pick(Ask{Instances: leaving, Tried: []directory.InstanceID{"b"}})
		So(ok, ShouldBeFalse)
	})
}

// The store is back after an outage and one instance is missing from its
// list. It may have left, and then gets no more requests; but when all are
// missing, they are all there is until they are listed again.
func TestDoubtfulInstancesAreTheLastResort(t *testing.T) {
	Convey("A doubtful instance is picked only where no other is left at all", t, func() {
		b := New(Config{DC: "nord", Weights: Usual()})
		some := []directory.Instance{{ID: "a", Doubtful: true}, {ID: "b"}}
		in, ok := b.Pick(Ask{Instances: some})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("b"))
		_, ok = b.Pick(Ask{Instances: some, Tried: []directory.InstanceID{"b"}})
		So(ok, ShouldBeFalse)
		all := []directory.Instance{{ID: "a", Doubtful: true}, {ID: "b", Leaving: true}}
		in, ok = b.Pick(Ask{Instances: all})
		So(ok, ShouldBeTrue)
		So(in.ID, ShouldEqual, directory.InstanceID("a"))
	})
}

// BenchmarkPick measures choosing among the instances of a service at the
// size to design for, 1,100 instances in 120 services, and among a hundred.
func BenchmarkPick(b *testing.B) {
	for _, size := range []int{10, 100} {
		for _, sample := range []int{0, sample} {
			b.Run(fmt.Sprintf("instances=%d/sample=%d", size, sample), func(b *testing.B) {
				w := Usual()
				w.Sample = sample
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
					in, _ := bal.Pick(Ask{Instances: ins, Near: near})
					bal.Done(in.Start(), Outcome{Took: time.Millisecond})
				}
			})
		}
	}
}

// An instance turned slow and failed, was crowded, and starts again under
// its id. Nothing of that is true of the new start; the requests that the
// former one still has end later and must not count for it either.
func TestANewStartIsKnownForNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The new start gets the requests of the near one again", t, func() {
			b := New(Config{DC: "nord", Weights: Usual()})
			first := []directory.Instance{{ID: "near", DC: "nord", Slots: 60, Started: 1000}, {ID: "far", DC: "sued", Slots: 60, Started: 1000}}
			var late []directory.Instance
			for range 100 {
				in, _ := b.Pick(Ask{Instances: first})
				if in.ID == "near" && len(late) < 10 {
					late = append(late, in)
					continue
				}
				b.Done(in.Start(), Outcome{Failed: in.ID == "near", Load: loadOf(50)})
			}
			again := []directory.Instance{{ID: "near", DC: "nord", Slots: 60, Started: 2000}, first[1]}
			for _, in := range late {
				b.Done(in.Start(), Outcome{Failed: true, Leaving: true})
			}
			near := 0
			for range 100 {
				in, _ := b.Pick(Ask{Instances: again})
				if in.ID == "near" {
					near++
				}
				b.Done(in.Start(), Outcome{Took: time.Millisecond, Load: loadOf(5)})
			}
			So(near, ShouldEqual, 100)
		})
	})
}
