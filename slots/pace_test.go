package slots

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// work keeps slots requests at a target for a time, each of which takes about
// mean; slow is how many times longer.
func work(p *Pace, slots int, mean, d time.Duration, slow float64) {
	type job struct {
		r   *Run
		end time.Time
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var jobs []job
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		kept := jobs[:0]
		for _, j := range jobs {
			if time.Now().Before(j.end) {
				kept = append(kept, j)
			} else {
				j.r.End(true)
			}
		}
		jobs = kept
		for len(jobs) < slots {
			// Log-normal with a spread of a half, as calls of the services
			// described to us.
			took := float64(mean) * slow * math.Exp(0.47*rng.NormFloat64()-0.11)
			jobs = append(jobs, job{p.Begin("fetch"), time.Now().Add(time.Duration(took))})
		}
	}
	for _, j := range jobs {
		j.r.End(false)
	}
}

// Two of five instances turn twelve times slower, from one moment to the next.
// A fetch of 140 ms takes 1.7 s there and has 0.7 s. Nothing completes for
// more than a second, so a mean of what completes says that all is well, and
// every fetch that comes is lost with the chain above it. Their nodes know
// within half a second.
func TestATargetThatTurnsSlowIsKnownBeforeItCompletesAnything(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPace()
		work(p, 20, 140*time.Millisecond, 5*time.Second, 1)
		Convey("Half a second after", t, func() {
			So(p.Needs("fetch"), ShouldBeLessThan, 200*time.Millisecond)
			go work(p, 20, 140*time.Millisecond, 2*time.Second, 12)
			time.Sleep(500 * time.Millisecond)
			So(p.Slow(), ShouldBeGreaterThan, 3)
			So(p.Needs("fetch"), ShouldBeGreaterThan, 600*time.Millisecond)
			time.Sleep(3 * time.Second)
			Convey("And nothing is left of it once it is as before", func() {
				work(p, 20, 140*time.Millisecond, 5*time.Second, 1)
				So(p.Needs("fetch"), ShouldBeLessThan, 200*time.Millisecond)
			})
		})
	})
}

// A target is as it always is, with one request or sixty. Requests differ by
// chance; sending them elsewhere for that would move work about for nothing.
func TestATargetThatIsAsUsualIsNotCalledSlow(t *testing.T) {
	for _, slots := range []int{1, 4, 60} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPace()
			work(p, slots, 140*time.Millisecond, 20*time.Second, 1)
			go work(p, slots, 140*time.Millisecond, 60*time.Second, 1)
			slow := 0
			const looks = 1000
			for range looks {
				time.Sleep(50 * time.Millisecond)
				if p.Slow() > 1 {
					slow++
				}
			}
			Convey("In 99 of 100 looks", t, func() {
				So(slow, ShouldBeLessThanOrEqualTo, looks/100)
			})
			time.Sleep(time.Minute)
		})
	}
}

// A read waits two seconds for its calls, which some service below is slow to
// answer. The target that runs the read is as fast as ever.
func TestWaitingForCallsIsNotSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPace()
		for range 40 {
			r := p.Begin("read")
			time.Sleep(20 * time.Millisecond)
			r.Call()
			time.Sleep(100 * time.Millisecond)
			r.Return()
			r.End(true)
		}
		Convey("Its own time counts", t, func() {
			var rs []*Run
			for range 20 {
				r := p.Begin("read")
				r.Call()
				rs = append(rs, r)
			}
			time.Sleep(2 * time.Second)
			So(p.Slow(), ShouldEqual, 1)
			So(p.Needs("read"), ShouldEqual, 120*time.Millisecond)
			for _, r := range rs {
				r.Return()
			}
			time.Sleep(time.Second)
			So(p.Slow(), ShouldBeGreaterThan, 5)
		})
	})
}

// BenchmarkPace measures what one request costs, beside sixty others.
func BenchmarkPace(b *testing.B) {
	p := NewPace()
	for range 60 {
		p.Begin("read").End(true)
		p.Begin("read")
	}
	b.ReportAllocs()
	for b.Loop() {
		r := p.Begin("read")
		p.Needs("read")
		r.End(true)
	}
}
