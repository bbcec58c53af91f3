package account

import (
	"sync"
	"time"
)

const (
	// maxRetryAfter bounds the retry delay given to a refused caller.
	maxRetryAfter = 5 * time.Second
	// fallbackTokens is the least capacity of an account's bucket while
	// the node cannot reach a collector.
	fallbackTokens = 1
	// quotaTTL is how long an unrestricted quota is valid. Without it, a
	// node that is disconnected as a surge begins would admit the account's
	// full rate.
	quotaTTL = 300 * time.Millisecond
	// demandSlack is how many requests above its share a node may see by chance
	// between two reports.
	demandSlack = 3
)

type (
	// Limiter enforces the accounts' rate limits at one node, based on the
	// last quotas from a collector's Aggregator. It is safe for
	// concurrent use.
	Limiter struct {
		tolerance Tolerance

		mu       sync.Mutex
		buckets  map[Name]*bucket
		fallback bool // no collector is reachable
		nodes    int  // as set by SetNodeCount
	}

	// bucket is a node's local token bucket for one account.
	bucket struct {
		tokens     float64
		refilledAt time.Time // time as of which tokens is valid
		rate       float64   // tokens per second
		capacity   float64

		// From the last Quota; zero before the first.
		quotaAt      time.Time
		share        float64 // fraction of the account's rate
		fairRate     float64 // share in requests per second
		unrestricted bool    // the node may use the account's full rate
		nearLimit    bool    // the account is near its limit over all nodes

		// Usage since the last report. If reported is set, the account was in
		// the last report, and the next one includes it even with zero usage.
		requested, admitted int32
		reported            bool

		lastRetryAt time.Time // latest retry time given to a refused caller
	}
)

// NewLimiter returns a Limiter that restricts the node to an even share until
// the first quotas arrive, since usage before a restart of all nodes still
// counts.
func NewLimiter(t Tolerance) *Limiter {
	return &Limiter{tolerance: t, buckets: map[Name]*bucket{}, nodes: 1, fallback: true}
}

// Allow takes a token for a request of the account. If there is none, it
// returns false and when the caller should retry. A nil account is not
// limited.
func (l *Limiter) Allow(a *Account) (ok bool, retryAfter time.Duration) {
	if a == nil || a.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	b := l.bucket(a, now)
	b.refill(now)
	if b.unrestricted && now.Sub(b.quotaAt) > quotaTTL {
		l.restrict(b, a, b.share, demandSlack)
	}
	b.requested++
	if b.tokens > 0 {
		b.tokens--
		b.admitted++
		return true, 0
	}
	return false, b.scheduleRetry(now)
}

// Refund gives back the token of a request that was not run.
func (l *Limiter) Refund(a *Account) {
	if a == nil || a.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[a.Name]; b != nil {
		b.tokens++
		b.admitted--
	}
}

// bucket returns the account's bucket. A new bucket is full if a collector is
// reachable: the next report is due within tenths of a second, and a node sees
// few requests of an account until then.
func (l *Limiter) bucket(a *Account, now time.Time) *bucket {
	b := l.buckets[a.Name]
	if b == nil {
		capacity := l.tolerance.capacity(a)
		b = &bucket{tokens: capacity, refilledAt: now, rate: a.Rate, capacity: capacity}
		if l.fallback {
			l.restrict(b, a, 1/float64(l.nodes), fallbackTokens)
		}
		l.buckets[a.Name] = b
	}
	return b
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.refilledAt).Seconds(), b.capacity)
	b.refilledAt = now
}

// scheduleRetry returns the retry delay for a refused caller. Retries are
// spaced so that they arrive at the rate at which they can be admitted.
func (b *bucket) scheduleRetry(now time.Time) time.Duration {
	if b.rate <= 0 {
		return maxRetryAfter
	}
	interval := time.Duration(float64(time.Second) / b.rate)
	next := now.Add(time.Duration(-b.tokens * float64(interval)))
	if b.lastRetryAt.After(next) {
		next = b.lastRetryAt
	}
	b.lastRetryAt = next.Add(interval)
	if wait := b.lastRetryAt.Sub(now); wait < maxRetryAfter {
		return wait
	}
	b.lastRetryAt = now.Add(maxRetryAfter)
	return maxRetryAfter
}

// Report returns the usage since the previous call.
func (l *Limiter) Report() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var us []Usage
	for name, b := range l.buckets {
		if b.requested > 0 || b.admitted != 0 || b.reported {
			us = append(us, Usage{Account: name, Requested: b.requested, Admitted: b.admitted})
		}
		b.reported = b.requested > 0
		b.requested, b.admitted = 0, 0
	}
	return us
}

// NearLimit reports whether an account in use is near its limit or exceeded
// this node's share over the elapsed time, so that usage must be reported
// soon.
func (l *Limiter) NearLimit(elapsed time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if b.requested > 0 && (b.nearLimit || float64(b.requested) > b.fairRate*elapsed.Seconds()+demandSlack) {
			return true
		}
	}
	return false
}

// Requeue puts back the usage of a report that failed, to be sent with the
// next.
func (l *Limiter) Requeue(us []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range us {
		if b := l.buckets[u.Account]; b != nil {
			b.requested += u.Requested
			b.admitted += u.Admitted
		}
	}
}

// ApplyQuotas applies the quotas from the answer to a report.
func (l *Limiter) ApplyQuotas(registry *Registry, quotas []Quota) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fallback = false
	now := time.Now()
	for _, q := range quotas {
		a := registry.ByName(q.Account)
		b := l.buckets[q.Account]
		if a == nil || b == nil {
			continue
		}
		b.share, b.refilledAt, b.quotaAt = float64(q.Share), now, now
		b.tokens = float64(q.Tokens) - float64(b.admitted)
		b.rate, b.capacity = a.Rate*b.share, l.tolerance.capacity(a)
		b.fairRate = b.rate
		if b.unrestricted, b.nearLimit = q.Unrestricted, !q.Unrestricted; q.Unrestricted {
			b.rate = a.Rate
		}
	}
}

// SetNodeCount sets the number of nodes.
func (l *Limiter) SetNodeCount(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(nodes, 1)
}

// EnterFallback switches to fallback mode when no collector is reachable. Each
// account is restricted to the node's last known share of its rate, or to an
// even share if that is more.
func (l *Limiter) EnterFallback(registry *Registry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fallback {
		return
	}
	l.fallback = true
	now := time.Now()
	for name, b := range l.buckets {
		if a := registry.ByName(name); a != nil {
			b.refill(now)
			l.restrict(b, a, max(b.share, 1/float64(l.nodes)), fallbackTokens)
		}
	}
}

// restrict limits the account's bucket to a share of its rate and capacity, with
// at least minTokens.
func (l *Limiter) restrict(b *bucket, a *Account, share, minTokens float64) {
	b.unrestricted, b.rate = false, a.Rate*share
	b.capacity = max(l.tolerance.capacity(a)*share, minTokens)
	b.tokens = min(b.tokens, b.capacity)
}

// SetRegistry removes accounts that are not in registry and applies lowered
// limits to the others. A nil registry has no accounts.
func (l *Limiter) SetRegistry(registry *Registry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if registry == nil {
		clear(l.buckets)
		return
	}
	for name, b := range l.buckets {
		a := registry.ByName(name)
		if a == nil {
			delete(l.buckets, name)
			continue
		}
		b.rate, b.capacity = min(b.rate, a.Rate), min(b.capacity, l.tolerance.capacity(a))
		b.tokens = min(b.tokens, b.capacity)
	}
}
