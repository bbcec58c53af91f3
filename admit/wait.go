package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// spareDivisor determines the fraction of a new request's spare time,
	// beyond the typical latency of its route, that it may spend in the
	// queue. The rest is left for a retry by the caller.
	spareDivisor = 2
	// minWaitDivisor determines the fraction of the target latency that a
	// new request may always wait. Refusing whenever all slots are taken
	// would refuse many requests at loads well below capacity.
	minWaitDivisor = 8
	// assumedLatencyDivisor determines the latency assumed for a route
	// before one is measured, as a fraction of the target latency, or of the
	// remaining time if there is none.
	assumedLatencyDivisor = 3
	// minRetryDelay is the lower bound of the retry delay before
	// randomization, which reduces it by up to a half. Shorter delays would
	// bring callers back during the same overload.
	minRetryDelay = 60 * time.Millisecond
	// maxRetryDelay is the upper bound. What is known of the load is fractions of
	// a second old and says nothing about later.
	maxRetryDelay = 1500 * time.Millisecond
	// retryDelayDivisor bounds the retry delay to a fraction of the caller's
	// remaining time, so that most of it is left for the next attempt.
	retryDelayDivisor = 3
)

type (
	// WaitFunc computes a duration from the timing of a request: how long it
	// may wait in the queue, or after what delay a refused caller should
	// retry.
	WaitFunc func(RequestTiming) time.Duration

	// RequestTiming describes the timing of a request.
	RequestTiming struct {
		Remaining      time.Duration // time until the caller's deadline
		TargetLatency  time.Duration // target latency of the route; 0 for none
		TypicalLatency time.Duration // typical latency of the route; 0 if unknown
	}
)

// WaitUntilDeadline lets a request wait until its deadline. It is a WaitFunc.
func WaitUntilDeadline(t RequestTiming) time.Duration { return max(t.Remaining, 0) }

// RetryInOneSecond returns a fixed retry delay of one second. It is a
// WaitFunc.
func RetryInOneSecond(RequestTiming) time.Duration { return time.Second }

// MaxQueueWait returns how long a new request may wait in the queue. A
// standing queue adds latency without adding throughput, so a request waits
// only as long as its response can still meet the route's target latency,
// and is otherwise refused while its caller has time to retry.
func (t RequestTiming) MaxQueueWait() time.Duration {
	typical := t.typicalLatency()
	wait := (t.Remaining - typical) / spareDivisor
	if t.TargetLatency > 0 {
		wait = min(wait, max(t.TargetLatency-typical, t.TargetLatency/minWaitDivisor))
	}
	return max(wait, 0)
}

// RetryAfter returns the delay after which a refused caller should retry:
// early enough for the response to meet the route's target latency, and
// randomized so that callers refused together do not retry together.
func (t RequestTiming) RetryAfter() time.Duration {
	delay := min(t.TargetLatency-t.typicalLatency(), t.Remaining/retryDelayDivisor, maxRetryDelay)
	delay = max(delay, minRetryDelay)
	return delay/2 + rand.N(delay/2)
}

func (t RequestTiming) typicalLatency() time.Duration {
	switch {
	case t.TypicalLatency > 0:
		return t.TypicalLatency
	case t.TargetLatency > 0:
		return t.TargetLatency / assumedLatencyDivisor
	}
	return t.Remaining / assumedLatencyDivisor
}
