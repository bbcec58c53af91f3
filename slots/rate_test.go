package slots

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// awaitingTicket returns the ticket of a request that waits for a rate limit.
func awaitingTicket(priority int, left time.Duration) Ticket {
	t := ticket(priority, left)
	t.AwaitRate = true
	return t
}

// Guards against a target that gets more requests than its rate limit allows, or
// fewer while requests wait.
func TestRateLimitIsKeptAndUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Waiting requests are admitted at the limit, also after it changes and ends", t, func() {
			g := NewGate(50, DefaultQueueOrder())
			g.SetRate(4)
			ctx := context.Background()
			done := make(chan struct{}, 100)
			for range 100 {
				go func() {
					if _, err := g.Acquire(ctx, awaitingTicket(0, time.Hour)); err == nil {
						done <- struct{}{}
					}
				}()
			}
			time.Sleep(4 * time.Second)
			So(len(done), ShouldBeBetweenOrEqual, 16, 17)
			g.SetRate(0.5)
			time.Sleep(4 * time.Second)
			So(len(done), ShouldBeBetweenOrEqual, 18, 20)
			g.SetRate(0)
			synctest.Wait()
			So(len(done), ShouldEqual, 50)
			So(g.Load().Limit, ShouldEqual, 50)
			g.Close()
		})
	})
}

// Guards against requests that wait for the rate limit of an instance although
// another one could take them.
func TestRequestsLeaveRateLimitedTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Queued and new requests are refused at once unless they wait for the limit", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			queued := acquireAsync(ctx, g, ticket(0, time.Minute))
			awaiting := acquireAsync(ctx, g, awaitingTicket(2, time.Minute))
			g.SetRate(1)
			So(<-queued, ShouldEqual, ErrRateLimited)
			g.Release(time.Millisecond)
			So(<-awaiting, ShouldBeNil)
			g.Release(time.Millisecond)
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldEqual, ErrRateLimited)
			So(g.RateWait(), ShouldBeBetween, 900*time.Millisecond, 1100*time.Millisecond)
			time.Sleep(time.Second + time.Millisecond)
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
		})
	})
}

// Guards against a request that waits in vain for a rate limit that higher ranks
// use up, instead of being sent to another instance.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A request of a higher rank takes the place", t, func() {
			g := NewGate(10, DefaultQueueOrder())
			g.SetRate(0.5)
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, awaitingTicket(0, time.Minute)), ShouldBeNil)
			low := awaitingTicket(2, 5*time.Second)
			low.MaxQueueWait = 100 * time.Millisecond
			read := acquireAsync(ctx, g, low)
			So(g.Load().Queued, ShouldEqual, 1)
			approval := acquireAsync(ctx, g, awaitingTicket(0, 5*time.Second))
			So(<-read, ShouldEqual, ErrTooLate)
			So(<-approval, ShouldBeNil)
		})
	})
}

// Guards against requests that wait longer than they may for a slot because they
// would also wait for a rate limit that there is not.
func TestPatienceIsExtendedForRateLimitOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Without a limit MaxQueueWait holds", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			tk := awaitingTicket(0, time.Minute)
			tk.MaxQueueWait = time.Second
			waiting := acquireAsync(ctx, g, tk)
			time.Sleep(2 * time.Second)
			So(len(waiting), ShouldEqual, 1)
			So(<-waiting, ShouldEqual, ErrTooLate)
		})
	})
}

// Guards against a limit far below the number of slots that still counts all of
// them as capacity.
func TestRateLimitReducesCapacity(t *testing.T) {
	Convey("The capacity follows from the limit and the service time", t, func() {
		g := NewGate(100, DefaultQueueOrder())
		So(g.RateBound(), ShouldBeFalse)
		g.SetRate(100) // 5 in progress at 50 ms each
		So(g.Load().Limit, ShouldEqual, 5)
		So(g.RateBound(), ShouldBeTrue)
		g.SetRate(0.25)
		So(g.Load().Limit, ShouldEqual, 1)
		g.SetRate(1e300)
		So(g.Load().Limit, ShouldEqual, 100)
		So(g.RateBound(), ShouldBeFalse)
	})
}

// rateOracle is the most that a target may have been sent, by the limits in
// force so far.
type rateOracle struct {
	limit   float64 // 0 for none
	since   time.Time
	allowed float64 // since the limit began, with the burst
	sent    int     // since the limit began
}

func (o *rateOracle) set(limit float64) {
	now := time.Now()
	if o.limit == 0 || limit == 0 {
		*o = rateOracle{limit: limit, since: now, allowed: max(limit*burstTime.Seconds(), 1)}
		return
	}
	o.advance()
	o.allowed += max(0, limit-o.limit) * burstTime.Seconds()
	o.limit = limit
}

func (o *rateOracle) advance() {
	now := time.Now()
	o.allowed += o.limit * now.Sub(o.since).Seconds()
	o.since = now
}

// TestGateKeepsAnySequenceOfRateLimits compares a Gate with rateOracle under
// random limits, requests and pauses.
func TestGateKeepsAnySequenceOfRateLimits(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := rapid.SampledFrom([]float64{0, 0.25, 0.5, 1, 3.3, 17, 200})
		steps := rapid.IntRange(10, 60).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			g, oracle := NewGate(8, DefaultQueueOrder()), &rateOracle{}
			ctx, cancel := context.WithCancel(context.Background())
			admitted := make(chan struct{}, 10_000)
			for range steps {
				switch rapid.IntRange(0, 3).Draw(rt, "step") {
				case 0:
					limit := limits.Draw(rt, "limit")
					oracle.set(limit)
					g.SetRate(limit)
				case 1:
					time.Sleep(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause_ms")) * time.Millisecond)
				default:
					tk := awaitingTicket(rapid.IntRange(0, 3).Draw(rt, "rank"), time.Minute)
					tk.AwaitRate = rapid.Bool().Draw(rt, "await")
					go func() {
						if _, err := g.Acquire(ctx, tk); err != nil {
							return
						}
						admitted <- struct{}{}
						time.Sleep(20 * time.Millisecond)
						g.Release(20 * time.Millisecond)
					}()
				}
				synctest.Wait()
				oracle.advance()
				for len(admitted) > 0 {
					<-admitted
					oracle.sent++
				}
				if oracle.limit > 0 && float64(oracle.sent) > oracle.allowed+0.001 {
					rt.Fatalf("%d requests sent, %.2f allowed at %v/s", oracle.sent, oracle.allowed, oracle.limit)
				}
			}
			cancel()
			g.SetRate(0)
			time.Sleep(time.Minute)
		})
	})
}

// BenchmarkGateWithRateLimit measures a request through a gate with free slots
// and a rate limit that admits it.
func BenchmarkGateWithRateLimit(b *testing.B) {
	g := NewGate(100, DefaultQueueOrder())
	g.SetRate(1e9)
	t := Ticket{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Acquire(context.Background(), t); err != nil {
			b.Fatal(err)
		}
		g.Release(time.Millisecond)
	}
}

// BenchmarkRateLimitRefusal measures a request that the rate limit does not
// admit.
func BenchmarkRateLimitRefusal(b *testing.B) {
	g := NewGate(100, DefaultQueueOrder())
	g.SetRate(0.001)
	t := Ticket{Deadline: time.Now().Add(time.Hour)}
	if _, err := g.Acquire(context.Background(), t); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Acquire(context.Background(), t); err != ErrRateLimited {
			b.Fatal(err)
		}
	}
}
