package slots

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// burstTime determines how many requests may be sent at once after a pause:
// those that the rate limit allows in this time, and at least one.
const burstTime = 250 * time.Millisecond

// rateLimit limits the rate at which requests are sent to a target. A nil
// rateLimit allows every request. It is not safe for concurrent use.
type rateLimit struct {
	limiter *rate.Limiter
	wake    *time.Timer // nil if none is pending
}

func newRateLimit(perSecond float64) *rateLimit {
	return &rateLimit{limiter: rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))}
}

// burst returns how many requests may be sent at once.
func burst(perSecond float64) int {
	return int(min(max(perSecond*burstTime.Seconds(), 1), math.MaxInt32))
}

// set changes the limit. What was allowed and not used before stays allowed, up
// to the new burst.
func (l *rateLimit) set(perSecond float64) {
	l.stop()
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(burst(perSecond))
}

// take allows one request now, and reports whether the limit permits it.
func (l *rateLimit) take(now time.Time) bool {
	return l == nil || l.limiter.AllowN(now, 1)
}

// wait returns the time until the limit permits a number of further requests.
func (l *rateLimit) wait(now time.Time, requests int) time.Duration {
	if l == nil {
		return 0
	}
	missing := float64(requests) - l.limiter.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	// Rounded up, so that the requests are permitted when the time is over.
	return time.Duration(math.Ceil(missing*float64(l.interval()))) + 1
}

// interval returns the mean time between two requests at the limit.
func (l *rateLimit) interval() time.Duration {
	return time.Duration(float64(time.Second) / float64(l.limiter.Limit()))
}

// concurrency returns how many requests are in progress at the limit, at least
// one.
func (l *rateLimit) concurrency(serviceTime time.Duration) int {
	if l == nil {
		return math.MaxInt
	}
	return int(min(max(float64(l.limiter.Limit())*serviceTime.Seconds(), 1), math.MaxInt32))
}

// wakeAfter calls f after a time, unless a call is pending.
func (l *rateLimit) wakeAfter(d time.Duration, f func()) {
	if l.wake == nil {
		l.wake = time.AfterFunc(d, f)
	}
}

// stop cancels a pending call of wakeAfter.
func (l *rateLimit) stop() {
	if l != nil && l.wake != nil {
		l.wake.Stop()
		l.wake = nil
	}
}
