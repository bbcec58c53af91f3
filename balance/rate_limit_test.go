package balance

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	simulatedHop     = time.Millisecond
	simulatedService = 100 * time.Millisecond
	// simulatedPatience is how long a request waits in the queue of an instance.
	simulatedPatience = 300 * time.Millisecond
	// maxSimulatedRefusals is how many instances may refuse a request because of
	// their rate limits before it waits.
	maxSimulatedRefusals = 8
	rankedLoadTime       = 2 * time.Minute
	simulatedDeadline    = 5 * time.Second
)

type (
	// rateLimitedFleet simulates instances of one service with rate limits and
	// the nodes that send requests to them.
	rateLimitedFleet struct {
		senders   []*Balancer
		instances []directory.Instance
		gates     map[directory.InstanceID]*slots.Gate
		done      chan fleetResult
		requests  sync.WaitGroup // in progress, and the loads that send them

		mu       sync.Mutex
		limits   map[directory.InstanceID]float64
		admitted map[directory.InstanceID][]time.Time
	}

	// fleetResult is the result of one request.
	fleetResult struct {
		rank   int
		served bool
		tries  int
		took   time.Duration
	}

	// fleetTotals sums up the results of one rank.
	fleetTotals struct {
		sent, served, tries int
		took                time.Duration
	}
)

func newRateLimitedFleet(senders, instances int) *rateLimitedFleet {
	f := &rateLimitedFleet{gates: map[directory.InstanceID]*slots.Gate{}, limits: map[directory.InstanceID]float64{},
		admitted: map[directory.InstanceID][]time.Time{}, done: make(chan fleetResult, 1<<17)}
	for range senders {
		f.senders = append(f.senders, New(Config{DC: "nord", Weights: DefaultWeights()}))
	}
	for i := range instances {
		in := directory.Instance{ID: directory.InstanceID(fmt.Sprintf("i%d", i)), DC: "nord", Slots: 20}
		f.instances = append(f.instances, in)
		f.gates[in.ID] = slots.NewGate(in.Slots, slots.DefaultQueueOrder())
	}
	return f
}

// setLimit sets the rate limit of an instance; 0 for none.
func (f *rateLimitedFleet) setLimit(instance int, perSecond float64) {
	id := f.instances[instance].ID
	f.mu.Lock()
	f.limits[id] = perSecond
	f.mu.Unlock()
	f.gates[id].SetRate(perSecond)
}

// limit returns the rate limit of an instance.
func (f *rateLimitedFleet) limit(id directory.InstanceID) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.limits[id]
}

// recordAdmission records that an instance got a request now.
func (f *rateLimitedFleet) recordAdmission(id directory.InstanceID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.admitted[id] = append(f.admitted[id], time.Now())
}

// load sends requests of a rank at a rate from random senders for a period.
func (f *rateLimitedFleet) load(rank int, perSecond float64, period time.Duration) {
	f.requests.Go(func() {
		for until := time.Now().Add(period); ; {
			time.Sleep(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
			if time.Now().After(until) {
				return
			}
			f.requests.Go(func() { f.request(f.senders[rand.IntN(len(f.senders))], rank) })
		}
	})
}

func (f *rateLimitedFleet) request(sender *Balancer, rank int) {
	began, res := time.Now(), fleetResult{rank: rank}
	t := slots.Ticket{Level: admit.LevelOf(rank, call.RequestID(fmt.Sprint(rand.Uint64()))), Deadline: began.Add(simulatedDeadline)}
	var tried []directory.InstanceID
	for refusals := 0; len(tried) < 4 && !res.served; res.tries++ {
		to, ok := sender.Pick(PickRequest{Route: "r", Instances: f.instances, Tried: tried})
		if !ok {
			break
		}
		t.AwaitRate = to.LastResort || refusals >= maxSimulatedRefusals
		t.MaxQueueWait = max(simulatedPatience-time.Since(began), time.Millisecond)
		o, err := f.send(to, t)
		sender.Done(to.Incarnation(), o)
		res.served = err == nil
		if o.RateWait > 0 {
			refusals++
			continue
		}
		tried = append(tried, to.ID)
	}
	res.took = time.Since(began)
	f.done <- res
}

func (f *rateLimitedFleet) send(to Choice, t slots.Ticket) (Outcome, error) {
	gate := f.gates[to.ID]
	time.Sleep(simulatedHop)
	_, err := gate.Acquire(context.Background(), t)
	o := Outcome{Route: "r", NotRun: err != nil}
	switch {
	case err == nil:
		f.recordAdmission(to.ID)
		time.Sleep(simulatedService)
		gate.Release(simulatedService)
		o.Latency = simulatedService
	case errors.Is(err, slots.ErrRateLimited):
		o.RateWait = max(gate.RateWait(), time.Millisecond)
	}
	load := gate.Load()
	o.Load, o.RateLimit = &load, f.limit(to.ID)
	time.Sleep(simulatedHop)
	return o, err
}

// totals returns the results so far by rank.
func (f *rateLimitedFleet) totals() map[int]fleetTotals {
	sum := map[int]fleetTotals{}
	for len(f.done) > 0 {
		res := <-f.done
		t := sum[res.rank]
		t.sent++
		t.tries += res.tries
		t.took += res.took
		if res.served {
			t.served++
		}
		sum[res.rank] = t
	}
	return sum
}

// admittedSince returns how many requests an instance got since a time.
func (f *rateLimitedFleet) admittedSince(instance int, from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.admitted[f.instances[instance].ID] {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// Guards against requests that are refused, or wait, at instances with rate
// limits while other instances of the service have room, at any number of nodes.
func TestRequestsAvoidRateLimitsWhileOthersHaveRoom(t *testing.T) {
	for _, senders := range []int{1, 16, 200, 1100} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%d nodes, half of the instances limited", senders), t, func() {
				f := newRateLimitedFleet(senders, 6)
				f.load(2, 300, time.Second)
				f.requests.Wait()
				f.totals()
				for i, limit := range []float64{15, 4, 0.5} {
					f.setLimit(i, limit)
				}
				from := time.Now()
				f.load(2, 300, 8*time.Second)
				f.requests.Wait()
				got := f.totals()[2]
				t.Logf("%d nodes: %d requests, %d served, %.2f tries each, %s on average; admitted %d, %d, %d", senders, got.sent, got.served,
					float64(got.tries)/float64(got.sent), got.took/time.Duration(got.sent), f.admittedSince(0, from), f.admittedSince(1, from), f.admittedSince(2, from))
				So(got.served, ShouldEqual, got.sent)
				So(got.took/time.Duration(got.sent), ShouldBeLessThan, simulatedService+20*time.Millisecond)
				for i, limit := range []float64{15, 4, 0.5} {
					So(f.admittedSince(i, from), ShouldBeLessThanOrEqualTo, int(limit*8.2)+int(limit/4)+2)
				}
			})
		})
	}
}

// Guards against rate limits that are not used up although requests are refused,
// and against requests of a high rank that are refused before those of a low one.
func TestRankDecidesWhereAllInstancesAreRateLimited(t *testing.T) {
	for _, c := range []struct {
		senders int
		limit   float64
	}{{1, 20}, {16, 20}, {200, 20}, {16, 2}, {200, 0.5}, {1100, 5}} {
		synctest.Test(t, func(t *testing.T) {
			Convey(fmt.Sprintf("%d nodes, %v requests a second at each of four instances", c.senders, c.limit), t, func() {
				f := newRateLimitedFleet(c.senders, 4)
				for i := range f.instances {
					f.setLimit(i, c.limit)
				}
				capacity, from := 4*c.limit, time.Now()
				f.load(0, capacity/4, rankedLoadTime)
				f.load(2, capacity*2, rankedLoadTime)
				f.requests.Wait()
				got := f.totals()
				admitted := 0
				for i := range f.instances {
					admitted += f.admittedSince(i, from)
				}
				t.Logf("%+v: high rank %d of %d, low rank %d of %d, %.2f tries each; %d admitted, %.0f allowed", c, got[0].served, got[0].sent, got[2].served, got[2].sent,
					float64(got[0].tries+got[2].tries)/float64(got[0].sent+got[2].sent), admitted, capacity*rankedLoadTime.Seconds())
				So(float64(got[0].served), ShouldBeGreaterThan, 0.95*float64(got[0].sent))
				So(float64(admitted), ShouldBeGreaterThan, 0.85*capacity*rankedLoadTime.Seconds())
			})
		})
	}
}

// Guards against an instance that stays avoided after its rate limit has ended.
func TestInstanceIsUsedSoonAfterRateLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("It gets its share again within three seconds", t, func() {
			f := newRateLimitedFleet(50, 3)
			f.setLimit(0, 0.25)
			f.load(2, 200, 20*time.Second)
			time.Sleep(10 * time.Second)
			f.setLimit(0, 0)
			time.Sleep(3 * time.Second)
			from := time.Now()
			time.Sleep(3 * time.Second)
			So(f.admittedSince(0, from), ShouldBeGreaterThan, 100)
			f.requests.Wait()
		})
	})
}

// Guards against an instance that is never tried again because its last answer
// reported a queue at its rate limit.
func TestQueueAtRateLimitIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("After two seconds the instance is tried before a busy one", t, func() {
			b := New(Config{DC: "nord", Weights: DefaultWeights()})
			limited, busy := directory.Instance{ID: "limited", DC: "nord", Slots: 20}, directory.Instance{ID: "busy", DC: "nord", Slots: 20}
			report := func(in directory.Instance, o Outcome) {
				_, ok := b.Pick(PickRequest{Instances: []directory.Instance{in}})
				So(ok, ShouldBeTrue)
				b.Done(in.Incarnation(), o)
			}
			report(limited, Outcome{Load: &call.Load{InFlight: 1, Queued: 3, Limit: 1}, RateLimit: 0.3})
			pick := func() string {
				report(busy, Outcome{Load: &call.Load{InFlight: 10, Limit: 20}})
				c, ok := b.Pick(PickRequest{Instances: []directory.Instance{limited, busy}})
				So(ok, ShouldBeTrue)
				b.Done(c.Incarnation(), Outcome{})
				return string(c.ID)
			}
			So(pick(), ShouldEqual, "busy")
			time.Sleep(maxRateBackoff)
			So(pick(), ShouldEqual, "limited")
		})
	})
}
