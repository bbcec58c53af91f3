package slots

import "time"

// rateWaitDivisor determines the fraction of its remaining time that the first
// request in line may wait for a rate limit.
const rateWaitDivisor = 2

// SetRate limits the number of requests that are sent to the target per second;
// 0 removes the limit.
func (g *Gate) SetRate(perSecond float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case perSecond == 0:
		g.rate.stop()
		g.rate = nil
	case g.rate == nil:
		g.rate = newRateLimit(perSecond)
		g.refuseUnlessAwaiting()
	default:
		g.rate.set(perSecond)
	}
	g.admitWaiting()
}

// refuseUnlessAwaiting refuses the queued requests that do not wait for a rate
// limit.
func (g *Gate) refuseUnlessAwaiting() {
	var awaiting []*waiter
	for w, ok := g.queue.Pop(); ok; w, ok = g.queue.Pop() {
		if w.ticket.AwaitRate {
			awaiting = append(awaiting, w)
			continue
		}
		w.result <- ErrRateLimited
	}
	for _, w := range awaiting {
		g.queue.Push(g.order.queueLevel(w.ticket), w)
	}
}

// refuseOvertaken refuses the queued requests that the rate limit will not admit
// in time any more, because others of lower levels have arrived. They can still
// be sent to another instance.
func (g *Gate) refuseOvertaken(now time.Time) {
	if g.rate == nil {
		return
	}
	var overtaken []*waiter
	place := 1
	for w := range g.queue.All() {
		if g.rate.wait(now, place) > w.patience-now.Sub(w.enqueued) {
			overtaken = append(overtaken, w)
			continue
		}
		place++
	}
	for _, w := range overtaken {
		g.queue.Remove(g.order.queueLevel(w.ticket), func(o *waiter) bool { return o == w })
		w.result <- ErrTooLate
	}
}

// RateWait returns how long a request that arrives now would wait for the rate
// limit.
func (g *Gate) RateWait() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.wait(time.Now(), g.queue.Len()+1)
}

// RateBound reports whether the rate limit admits less than the slots do.
func (g *Gate) RateBound() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.concurrency(g.meanServiceTime) < g.limit
}

// admitLater admits queued requests when the rate limit allows the next one.
func (g *Gate) admitLater() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.stop()
	g.admitWaiting()
}

// patience returns the longest time that a new request waits in the queue. The
// first in line for a rate limit may wait beyond MaxQueueWait: at a low limit
// all requests would otherwise be refused until shortly before the next one is
// admitted, and the time of arrival instead of the rank would decide which.
func (g *Gate) patience(t Ticket, now time.Time) time.Duration {
	left := t.Deadline.Sub(now)
	switch {
	case t.MaxQueueWait <= 0:
		return left
	case g.rate != nil && t.AwaitRate && g.queue.Ahead(g.order.queueLevel(t)) == 0:
		return max(min(left, t.MaxQueueWait), left/rateWaitDivisor)
	}
	return min(left, t.MaxQueueWait)
}
