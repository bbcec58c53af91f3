package slots

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// runLoad keeps a number of requests in flight for the duration d. Their
// service times have the given mean, multiplied by slowdown.
func runLoad(e *SlowdownEstimator, slots int, mean, d time.Duration, slowdown float64) {
	type job struct {
		r   *TrackedRequest
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
			// Log-normal with a standard deviation of about half the mean.
			took := float64(mean) * slowdown * math.Exp(0.47*rng.NormFloat64()-0.11)
			jobs = append(jobs, job{e.Begin("fetch"), time.Now().Add(time.Duration(took))})
		}
	}
	for _, j := range jobs {
		j.r.End(false)
	}
}

// A target that suddenly slows down by a factor of twelve completes nothing
// for more than a second. The slowdown must be detected within half a
// second, or requests sent to it meanwhile time out.
func TestSlowdownIsDetectedBeforeAnyCompletion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewSlowdownEstimator()
		runLoad(e, 20, 140*time.Millisecond, 5*time.Second, 1)
		Convey("The slowdown is detected within half a second", t, func() {
			So(e.ExpectedTime("fetch"), ShouldBeLessThan, 200*time.Millisecond)
			go runLoad(e, 20, 140*time.Millisecond, 2*time.Second, 12)
			time.Sleep(500 * time.Millisecond)
			So(e.Slowdown(), ShouldBeGreaterThan, 3)
			So(e.ExpectedTime("fetch"), ShouldBeGreaterThan, 600*time.Millisecond)
			time.Sleep(3 * time.Second)
			Convey("The estimate returns to normal after recovery", func() {
				runLoad(e, 20, 140*time.Millisecond, 5*time.Second, 1)
				So(e.ExpectedTime("fetch"), ShouldBeLessThan, 200*time.Millisecond)
			})
		})
	})
}

// Random variation of service times must not be reported as a slowdown,
// which would move load to other instances.
func TestNoSlowdownReportedAtNormalSpeed(t *testing.T) {
	for _, slots := range []int{1, 4, 60} {
		synctest.Test(t, func(t *testing.T) {
			e := NewSlowdownEstimator()
			runLoad(e, slots, 140*time.Millisecond, 20*time.Second, 1)
			go runLoad(e, slots, 140*time.Millisecond, 60*time.Second, 1)
			reported := 0
			const samples = 1000
			for range samples {
				time.Sleep(50 * time.Millisecond)
				if e.Slowdown() > 1 {
					reported++
				}
			}
			Convey("At most 1 in 100 samples reports a slowdown", t, func() {
				So(reported, ShouldBeLessThanOrEqualTo, samples/100)
			})
			time.Sleep(time.Minute)
		})
	}
}

// A slow downstream service must not make the calling target look slow.
func TestTimeInOutboundCallsIsNotSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := NewSlowdownEstimator()
		for range 40 {
			r := e.Begin("read")
			time.Sleep(20 * time.Millisecond)
			r.BeginCall()
			time.Sleep(100 * time.Millisecond)
			r.EndCall()
			r.End(true)
		}
		Convey("Only time outside of outbound calls counts", t, func() {
			var rs []*TrackedRequest
			for range 20 {
				r := e.Begin("read")
				r.BeginCall()
				rs = append(rs, r)
			}
			time.Sleep(2 * time.Second)
			So(e.Slowdown(), ShouldEqual, 1)
			So(e.ExpectedTime("read"), ShouldEqual, 120*time.Millisecond)
			for _, r := range rs {
				r.EndCall()
			}
			time.Sleep(time.Second)
			So(e.Slowdown(), ShouldBeGreaterThan, 5)
		})
	})
}

// Guards against a target that seems slow because requests to the one before it
// never end, or end late.
func TestRequestsOfFormerTargetDoNotCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Only requests since the reset do", t, func() {
			e := NewSlowdownEstimator()
			var former []*TrackedRequest
			for range 20 {
				former = append(former, e.Begin("read"))
			}
			time.Sleep(10 * time.Second)
			e.Reset()
			r := e.Begin("read")
			time.Sleep(100 * time.Millisecond)
			r.End(true)
			time.Sleep(slowdownTTL)
			So(e.Slowdown(), ShouldEqual, 1)
			for _, r := range former {
				r.End(true)
			}
			So(e.ExpectedTime("read"), ShouldEqual, 100*time.Millisecond)
		})
	})
}

// BenchmarkSlowdownEstimator measures the overhead per request with sixty
// others in flight.
func BenchmarkSlowdownEstimator(b *testing.B) {
	e := NewSlowdownEstimator()
	for range 60 {
		e.Begin("read").End(true)
		e.Begin("read")
	}
	b.ReportAllocs()
	for b.Loop() {
		r := e.Begin("read")
		e.ExpectedTime("read")
		r.End(true)
	}
}
