package account

import (
	"maps"
	"sync"
	"time"
)

const (
	// A source that has not reported for its silence timeout counts as
	// disconnected and is assumed to continue with its share. The timeout is
	// shorter for an account near its limit, and for data centres, which report
	// more often.
	nodeSilenceTimeout      = 2 * time.Second
	nearLimitSilenceTimeout = 1200 * time.Millisecond
	dcSilenceTimeout        = 700 * time.Millisecond
	// maxBacklog is the longest reporting interval whose usage is counted in
	// full; the usage of a longer one is scaled down to it. While the source was
	// disconnected its share was reserved, or tokens were plentiful, so counting
	// all of its usage would deduct too much.
	maxBacklog = 2 * time.Second
	// reservationTTL is how long the share of a disconnected source is
	// reserved.
	reservationTTL = 15 * time.Second
	// initialFill is the part of one second's rate, or of the burst if that is
	// less, in a new bucket. It is low because usage before a restart of all
	// nodes still counts in the same window.
	initialFill = 0.25
)

type (
	// Aggregator aggregates the usage of all accounts on a data centre's
	// collector and computes each source's quotas. It keeps one token
	// bucket per account for the whole deployment. It is safe for
	// concurrent use.
	Aggregator struct {
		tolerance Tolerance

		mu         sync.Mutex
		buckets    map[Name]*clusterBucket
		lastReport map[Source]time.Time // time of each source's last report
	}

	// clusterBucket is the deployment-wide token bucket of one account.
	clusterBucket struct {
		tolerance  Tolerance
		tokens     float64
		refilledAt time.Time
		sources    map[Source]*demand
		reserved   map[Source]float64 // share of the demand of each disconnected source
		// unforwarded is the usage assumed for disconnected nodes of this data
		// centre that has not been forwarded to the others.
		unforwarded float64
	}
)

// NewAggregator returns an empty Aggregator.
func NewAggregator(t Tolerance) *Aggregator {
	return &Aggregator{tolerance: t, buckets: map[Name]*clusterBucket{}, lastReport: map[Source]time.Time{}}
}

// Add processes a report and returns the quotas of the accounts in it.
func (g *Aggregator) Add(registry *Registry, r Report) []Quota {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	switch {
	case r.Standby:
		g.deduct(registry, r.Usage, now)
		return nil
	case r.Moved:
		g.removeSource(r.From)
		return nil
	}
	interval, reported := now.Sub(g.lastReport[r.From]), map[Name]bool{}
	g.lastReport[r.From] = now
	out := make([]Quota, 0, len(r.Usage))
	for _, u := range r.Usage {
		a := registry.ByName(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		reported[u.Account] = true
		c := g.bucket(a, now)
		c.tokens -= u.tokens(interval)
		d := c.demandOf(r.From)
		d.aggregated = r.Aggregated
		d.observe(float64(u.Requested), interval, now, c.nearLimit(a))
		out = append(out, c.quota(a, r.From))
	}
	g.recordIdle(r.From, reported, interval, now)
	return out
}

// tokens returns how many tokens to deduct for usage over an interval.
func (u *Usage) tokens(interval time.Duration) float64 {
	if interval <= maxBacklog {
		return float64(u.Admitted)
	}
	return float64(u.Admitted) * maxBacklog.Seconds() / interval.Seconds()
}

// deduct deducts admitted requests without recording demand.
func (g *Aggregator) deduct(registry *Registry, us []Usage, now time.Time) {
	for _, u := range us {
		if a := registry.ByName(u.Account); a != nil && a.Rate > 0 {
			g.bucket(a, now).tokens -= float64(u.Admitted)
		}
	}
}

// removeSource removes a source that reports to another collector, so that its
// silence here is not taken for a partition.
func (g *Aggregator) removeSource(from Source) {
	delete(g.lastReport, from)
	for _, c := range g.buckets {
		delete(c.sources, from)
		delete(c.reserved, from)
	}
}

// TakeUnforwarded returns and clears the usage assumed for disconnected nodes
// of this data centre, for forwarding to the others.
func (g *Aggregator) TakeUnforwarded(registry *Registry) []Usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	var us []Usage
	now := time.Now()
	maps.DeleteFunc(g.lastReport, func(_ Source, at time.Time) bool { return now.Sub(at) > reservationTTL })
	for name, c := range g.buckets {
		a := registry.ByName(name)
		if a == nil {
			delete(g.buckets, name)
			continue
		}
		c.refill(a, now)
		if n := int32(c.unforwarded); n > 0 {
			c.unforwarded -= float64(n)
			us = append(us, Usage{Account: name, Admitted: n})
		}
	}
	return us
}

// recordIdle records zero demand for the accounts that a report does not contain.
func (g *Aggregator) recordIdle(from Source, reported map[Name]bool, interval time.Duration, now time.Time) {
	for name, c := range g.buckets {
		if d := c.sources[from]; d != nil && !reported[name] {
			d.observe(0, interval, now, false)
			if d.rate < 1/reservationTTL.Seconds() {
				delete(c.sources, from)
				delete(c.reserved, from)
			}
		}
	}
}

func (g *Aggregator) bucket(a *Account, now time.Time) *clusterBucket {
	c := g.buckets[a.Name]
	if c == nil {
		c = &clusterBucket{tolerance: g.tolerance, tokens: min(a.Rate, a.Burst) * initialFill, refilledAt: now, sources: map[Source]*demand{}, reserved: map[Source]float64{}}
		g.buckets[a.Name] = c
	}
	c.refill(a, now)
	return c
}

// refill adds tokens for the elapsed time, less the shares of disconnected
// sources.
func (c *clusterBucket) refill(a *Account, now time.Time) {
	dt := now.Sub(c.refilledAt).Seconds()
	c.refilledAt = now
	localShare, remoteShare := c.disconnectedShares(a, now)
	c.unforwarded += a.Rate * localShare * dt
	available := max(1-localShare-remoteShare, 0)
	c.tokens = min(c.tokens+a.Rate*available*dt, c.tolerance.capacity(a)*available)
}

func (c *clusterBucket) demandOf(s Source) *demand {
	d := c.sources[s]
	if d == nil {
		d = &demand{}
		c.sources[s] = d
	}
	return d
}

// nearLimit reports whether less than half of the capacity is left, from which
// point each source is limited to its share.
func (c *clusterBucket) nearLimit(a *Account) bool { return c.tokens < c.tolerance.capacity(a)/2 }

// disconnectedShares returns the shares of the demand reserved for disconnected
// nodes of this data centre and for disconnected data centres. A reservation is
// computed from the demand before the partition, and ends when the source
// reports again or after reservationTTL.
func (c *clusterBucket) disconnectedShares(a *Account, now time.Time) (localShare, remoteShare float64) {
	var total float64
	for _, d := range c.sources {
		total += d.pastBaseline
	}
	for s, d := range c.sources {
		silence := now.Sub(d.reportedAt)
		share, isReserved := c.reserved[s]
		switch {
		case silence > reservationTTL:
			delete(c.sources, s)
			delete(c.reserved, s)
			continue
		case silence <= c.silenceTimeout(a, d):
			delete(c.reserved, s)
			continue
		case !isReserved && total > 0:
			share = d.pastBaseline / total
			c.reserved[s] = share
			c.reserveTokens(a, d, share*(c.tolerance.capacity(a)+a.Rate*silence.Seconds()))
		}
		if d.aggregated {
			remoteShare += share
		} else {
			localShare += share
		}
	}
	return localShare, remoteShare
}

// reserveTokens deducts what a source may have admitted since its last report.
func (c *clusterBucket) reserveTokens(a *Account, d *demand, tokens float64) {
	c.tokens -= tokens
	if !d.aggregated {
		c.unforwarded += tokens
	}
}

// silenceTimeout returns after how long without a report a source counts as
// disconnected.
func (c *clusterBucket) silenceTimeout(a *Account, d *demand) time.Duration {
	switch {
	case d.aggregated:
		return dcSilenceTimeout
	case c.nearLimit(a):
		return nearLimitSilenceTimeout
	}
	return nodeSilenceTimeout
}

// quota returns the account's quota for a source. While at least half of
// the capacity is left, every source may use all of it. Below that, each gets
// the tokens in proportion to its demand, but no less than an even share, since
// each node sees few requests of a small account.
func (c *clusterBucket) quota(a *Account, from Source) Quota {
	var currentTotal, baselineTotal float64
	for _, d := range c.sources {
		currentTotal += d.rate
		baselineTotal += d.pastBaseline
	}
	d, evenShare := c.sources[from], 1/float64(len(c.sources))
	q := Quota{Account: a.Name, Tokens: float32(c.tokens), Share: float32(ratio(d.pastBaseline, baselineTotal)), Unrestricted: !c.nearLimit(a)}
	if !q.Unrestricted {
		q.Tokens *= float32(max(ratio(d.rate, currentTotal), evenShare))
	}
	return q
}
