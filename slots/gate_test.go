package slots

import (
	"context"
	"errors"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func ticket(priority int, left time.Duration) Ticket {
	return Ticket{Level: admit.LevelOf(priority, "x"), Deadline: time.Now().Add(left)}
}

// acquireAsync calls g.Acquire on a new goroutine and returns a channel for
// its error.
func acquireAsync(ctx context.Context, g *Gate, t Ticket) <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := g.Acquire(ctx, t)
		done <- err
	}()
	synctest.Wait()
	return done
}

// Guards against starvation of a high rank by calls of a lower rank that
// keep the queue full.
func TestHigherRankIsServedBeforeLowerRank(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("The order is by rank, then by level within the rank, then by arrival", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			read := acquireAsync(ctx, g, ticket(2, time.Minute))
			readCall := acquireAsync(ctx, g, ticket(2, time.Minute))
			lowLevelTicket := ticket(2, time.Minute)
			lowLevelTicket.Level = 2 * admit.LevelsPerRank
			lowLevelRead := acquireAsync(ctx, g, lowLevelTicket)
			view := acquireAsync(ctx, g, ticket(1, time.Minute))
			approval := acquireAsync(ctx, g, ticket(0, time.Minute))
			approvalCall := acquireAsync(ctx, g, ticket(0, time.Minute))
			So(g.Load().Queued, ShouldEqual, 6)
			for _, next := range []<-chan error{approval, approvalCall, view, lowLevelRead, read, readCall} {
				g.Release(time.Millisecond)
				So(<-next, ShouldBeNil)
			}
		})
	})
}

// Requests of lower ranks in the queue must not make the expected wait
// exceed a request's MaxQueueWait.
func TestExpectedWaitIgnoresLowerRanks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A hundred queued calls of a lower rank do not cause a refusal", t, func() {
			g := NewGate(2, DefaultQueueOrder())
			ctx := context.Background()
			for range 2 {
				So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			}
			for range 100 {
				acquireAsync(ctx, g, ticket(2, time.Minute))
			}
			tk := ticket(1, 3*initialServiceTime)
			tk.MaxQueueWait = initialServiceTime
			view := acquireAsync(ctx, g, tk)
			g.Release(initialServiceTime)
			So(<-view, ShouldBeNil)
			g.Close()
		})
	})
}

// Queued requests must be refused early enough to be tried elsewhere, and at
// once if the expected wait exceeds the deadline.
func TestRequestsThatWouldMissTheirDeadlineAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("At once if the expected wait is too long, at the deadline otherwise", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			began := time.Now()
			So(errors.Is(<-acquireAsync(ctx, g, ticket(0, initialServiceTime)), ErrTooLate), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, 0)
			late := acquireAsync(ctx, g, ticket(0, 3*initialServiceTime))
			So(errors.Is(<-late, ErrTooLate), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, 3*initialServiceTime)
			So(g.Load().Queued, ShouldEqual, 0)
		})
		Convey("A request is refused after its MaxQueueWait, before its deadline", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			began := time.Now()
			tk := ticket(0, time.Minute)
			tk.MaxQueueWait = 2 * initialServiceTime
			waiting := acquireAsync(ctx, g, tk)
			So(errors.Is(<-waiting, ErrTooLate), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, 2*initialServiceTime)
			tk.MaxQueueWait = initialServiceTime / 2
			So(errors.Is(<-acquireAsync(ctx, g, tk), ErrTooLate), ShouldBeTrue)
			So(time.Since(began), ShouldEqual, 2*initialServiceTime)
		})
		Convey("Cancelling a queued request removes it from the queue", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx, cancel := context.WithCancel(context.Background())
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			cancelled := acquireAsync(ctx, g, ticket(0, time.Minute))
			cancel()
			So(errors.Is(<-cancelled, context.Canceled), ShouldBeTrue)
			So(g.Load().Queued, ShouldEqual, 0)
		})
		Convey("Close refuses all queued requests at once", t, func() {
			g := NewGate(1, DefaultQueueOrder())
			ctx := context.Background()
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
			waiting := acquireAsync(ctx, g, ticket(0, time.Minute))
			g.Close()
			So(errors.Is(<-waiting, ErrLeaving), ShouldBeTrue)
			So(errors.Is(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ErrLeaving), ShouldBeTrue)
			g.Open()
			g.Release(0)
			So(<-acquireAsync(ctx, g, ticket(0, time.Minute)), ShouldBeNil)
		})
	})
}

// Runs random sequences of arrivals, completions, cancellations, limit
// changes and closings. Concurrency must never exceed the limit, and each
// request must be admitted or refused exactly once.
func TestGateNeverExceedsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			g := NewGate(3, DefaultQueueOrder())
			limit, inFlightAtChange := 3, 0 // requests in flight when the limit was last changed
			var waiting []<-chan error
			var cancels []context.CancelFunc
			inFlight := 0
			collect := func() {
				synctest.Wait()
				var pending []<-chan error
				for _, w := range waiting {
					select {
					case err := <-w:
						if err == nil {
							inFlight++
						}
					default:
						pending = append(pending, w)
					}
				}
				waiting = pending
				if inFlight > max(limit, inFlightAtChange) {
					rt.Fatalf("%d requests at the target, limit %d", inFlight, limit)
				}
			}
			rt.Repeat(map[string]func(*rapid.T){
				"come": func(rt *rapid.T) {
					ctx, cancel := context.WithCancel(context.Background())
					cancels = append(cancels, cancel)
					tk := ticket(rapid.IntRange(0, 3).Draw(rt, "priority"),
						time.Duration(rapid.IntRange(1, 500).Draw(rt, "left"))*time.Millisecond)
					waiting = append(waiting, acquireAsync(ctx, g, tk))
					collect()
				},
				"end": func(rt *rapid.T) {
					if inFlight == 0 {
						rt.Skip("no request at the target")
					}
					inFlight--
					g.Release(time.Duration(rapid.IntRange(0, 100).Draw(rt, "took")) * time.Millisecond)
					collect()
				},
				"leave": func(rt *rapid.T) {
					if len(cancels) == 0 {
						rt.Skip("no request to cancel")
					}
					cancels[rapid.IntRange(0, len(cancels)-1).Draw(rt, "who")]()
					collect()
				},
				"limit": func(rt *rapid.T) {
					inFlightAtChange = inFlight
					limit = rapid.IntRange(1, 5).Draw(rt, "limit")
					g.SetLimit(limit)
					collect()
				},
				"wait":  func(*rapid.T) { time.Sleep(50 * time.Millisecond); collect() },
				"close": func(*rapid.T) { g.Close(); collect() },
				"open":  func(*rapid.T) { g.Open(); collect() },
				"": func(rt *rapid.T) {
					if l := g.Load(); l.InFlight != inFlight || l.Queued != len(waiting) {
						rt.Fatalf("gate reports %d in flight and %d queued, want %d and %d", l.InFlight, l.Queued, inFlight, len(waiting))
					}
				},
			})
			for _, cancel := range cancels {
				cancel()
			}
			collect()
			if len(waiting) > 0 {
				rt.Fatalf("%d requests never ended", len(waiting))
			}
		})
	})
}

// BenchmarkGate measures a request through a gate with free slots.
func BenchmarkGate(b *testing.B) {
	g := NewGate(100, DefaultQueueOrder())
	t := Ticket{Level: call.Level(3), Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Acquire(context.Background(), t); err != nil {
			b.Fatal(err)
		}
		g.Release(time.Millisecond)
	}
}

// BenchmarkAcquireWaiting measures a request through a full gate with a
// hundred queued requests.
func BenchmarkAcquireWaiting(b *testing.B) {
	g := NewGate(1, DefaultQueueOrder())
	ctx := context.Background()
	far := time.Now().Add(time.Hour)
	if _, err := g.Acquire(ctx, Ticket{Deadline: far}); err != nil {
		b.Fatal(err)
	}
	for i := range 100 {
		go g.Acquire(ctx, Ticket{Level: admit.LevelOf(2, call.RequestID(rune('a'+i))), Deadline: far})
	}
	for g.Load().Queued < 100 {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		done := make(chan struct{})
		go func() {
			g.Acquire(ctx, Ticket{Deadline: far})
			close(done)
		}()
		for g.Load().Queued < 101 {
			runtime.Gosched()
		}
		g.Release(0)
		<-done
	}
	g.Close()
}
