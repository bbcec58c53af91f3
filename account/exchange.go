package account

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// reportInterval is how often a node reports accounts that are near their
	// limits, and how often a collector forwards usage. All nodes must learn
	// within a second of an account that sends at five times its rate.
	reportInterval = 150 * time.Millisecond
	// idleInterval is the report interval when no account is near its limit.
	idleInterval = time.Second
	// reportTimeout bounds the wait for the answer to a report.
	reportTimeout = 400 * time.Millisecond
	// fallbackDelay is how long reports must have failed before a node limits
	// accounts to its own share.
	fallbackDelay = 500 * time.Millisecond
	// collectorBackoff is how long a collector that failed to answer is
	// skipped.
	collectorBackoff = 3 * time.Second
	// collectorsPerDC is how many collectors in each data centre receive usage:
	// the active one and its standby.
	collectorsPerDC = 2
	// reportLinger is how long a node keeps reporting after it last had usage.
	reportLinger = 10 * time.Second
)

type (
	// ExchangeConfig is the configuration of an Exchange.
	ExchangeConfig struct {
		Self Source // this node
		DC   Source // its data centre
		// Registry returns the current accounts, or nil if there are
		// none.
		Registry func() *Registry
		// Collectors returns the addresses of the collectors in order
		// of preference: those of this data centre (own, which may
		// include this node) and those of each other data centre.
		// total is the number of nodes.
		Collectors func() (own []Source, others [][]Source, total int)
		// Send sends a report to a node and returns its answer.
		Send func(ctx context.Context, to Source, r Report) ([]Quota, error)
		// OnError is called for each report that could not be
		// delivered.
		OnError func(to Source, err error)
	}

	// Exchange keeps a node's Limiter up to date. It reports local usage to one
	// collector in the data centre and applies the quotas in the answer. On
	// a collector it aggregates the usage of the data centre's nodes and
	// forwards it to the collectors of the other data centres. It is safe for
	// concurrent use.
	Exchange struct {
		cfg        ExchangeConfig
		limiter    *Limiter
		aggregator *Aggregator

		// Used by the reporting goroutine only.
		lastReport   time.Time // time of this node's last report
		lastUsage    time.Time // time of the last report that contained usage
		failingSince time.Time // zero while reports succeed
		current      Source    // collector that received the last report

		ticks int // forwarding rounds; used by the forwarding goroutine only

		mu           sync.Mutex
		backoffUntil map[Source]time.Time      // collectors that failed to answer
		pending      map[Source]map[Name]Usage // by collector: usage not yet forwarded to it
		inFlight     map[Source]bool           // collectors with an outstanding forward
	}
)

// NewExchange returns an Exchange that updates l. Run starts it.
func NewExchange(cfg ExchangeConfig, l *Limiter) *Exchange {
	return &Exchange{cfg: cfg, limiter: l, aggregator: NewAggregator(l.tolerance), pending: map[Source]map[Name]Usage{}, inFlight: map[Source]bool{}, backoffUntil: map[Source]time.Time{}}
}

// Run reports and forwards usage until ctx is done.
func (x *Exchange) Run(ctx context.Context) {
	go x.loop(ctx, func(registry *Registry) {
		own, others, _ := x.cfg.Collectors()
		x.enqueue(x.aggregator.TakeUnforwarded(registry))
		x.forward(ctx, own, others)
	})
	x.loop(ctx, func(*Registry) {
		own, others, total := x.cfg.Collectors()
		if total > 0 {
			x.limiter.SetNodeCount(total)
		}
		x.report(ctx, own, others)
	})
}

// loop calls f every reportInterval while there are accounts, until ctx is
// done.
func (x *Exchange) loop(ctx context.Context, f func(*Registry)) {
	for wait := reportInterval; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		registry := x.cfg.Registry()
		if registry == nil {
			wait = idleInterval // nothing to report
			continue
		}
		wait = reportInterval
		f(registry)
	}
}

// HandleReport processes a report from another node and returns the answer.
func (x *Exchange) HandleReport(r Report) []Quota {
	registry := x.cfg.Registry()
	if registry == nil {
		return nil
	}
	quotas := x.aggregator.Add(registry, r)
	if r.Aggregated {
		return nil
	}
	x.enqueue(r.Usage)
	return quotas
}

// report sends this node's usage to a collector. While no account is near its
// limit it does so only every idleInterval.
func (x *Exchange) report(ctx context.Context, own []Source, others [][]Source) {
	elapsed := time.Since(x.lastReport)
	if elapsed < idleInterval-reportInterval/2 && x.failingSince.IsZero() && !x.limiter.NearLimit(elapsed) {
		return
	}
	us := x.limiter.Report()
	if len(us) > 0 {
		x.lastUsage = time.Now()
	}
	if time.Since(x.lastUsage) > reportLinger {
		return
	}
	x.lastReport = time.Now()
	r := Report{From: x.cfg.Self, Usage: us}
	to, ok := x.collector(own, others)
	if !ok {
		x.limiter.Requeue(us)
		x.reportFailed()
		return
	}
	x.switchCollector(ctx, to)
	if to == x.cfg.Self {
		x.applyQuotas(x.HandleReport(r))
		return
	}
	reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	quotas, err := x.cfg.Send(reportCtx, to, r)
	if err == nil {
		x.applyQuotas(quotas)
		return
	}
	x.limiter.Requeue(us)
	x.backOff(to, err)
	x.reportFailed()
}

// switchCollector sets the current collector and notifies the previous one that
// this node has moved.
func (x *Exchange) switchCollector(ctx context.Context, to Source) {
	previous := x.current
	if x.current = to; previous == to || previous == "" {
		return
	}
	r := Report{From: x.cfg.Self, Moved: true}
	if previous == x.cfg.Self {
		x.HandleReport(r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, reportTimeout)
		defer cancel()
		if _, err := x.cfg.Send(ctx, previous, r); err != nil {
			x.cfg.OnError(previous, err)
		}
	}()
}

// applyQuotas applies the quotas by the accounts as they are now: the limits may have
// changed since the report was sent.
func (x *Exchange) applyQuotas(quotas []Quota) {
	x.failingSince = time.Time{}
	if registry := x.cfg.Registry(); registry != nil {
		x.limiter.ApplyQuotas(registry, quotas)
	}
}

// reportFailed records a failed report and switches the limiter to fallback
// mode once reports have failed for fallbackDelay.
func (x *Exchange) reportFailed() {
	if x.failingSince.IsZero() {
		x.failingSince = time.Now()
	}
	registry := x.cfg.Registry()
	if registry != nil && time.Since(x.failingSince) >= fallbackDelay {
		x.limiter.EnterFallback(registry)
	}
}

// enqueue adds usage to what is pending for every collector.
func (x *Exchange) enqueue(us []Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, queued := range x.pending {
		for _, u := range us {
			sum := queued[u.Account]
			queued[u.Account] = Usage{Account: u.Account, Requested: sum.Requested + u.Requested, Admitted: sum.Admitted + u.Admitted}
		}
	}
}

// forward sends pending usage to the collectors of the other data centres and,
// half as often, to the standbys in all data centres, which must know the usage
// when they take over. A standby that received reports itself forwards them to
// the active collector.
func (x *Exchange) forward(ctx context.Context, own []Source, others [][]Source) {
	localCollectors := x.available(own)
	isCollector := len(localCollectors) > 0 && localCollectors[0] == x.cfg.Self
	var recipients []Source
	for _, to := range localCollectors {
		if to != x.cfg.Self {
			recipients = append(recipients, to)
		}
	}
	standbys := slices.Clone(recipients)
	for _, dc := range others {
		remote := x.available(dc)
		recipients = append(recipients, remote...)
		standbys = append(standbys, remote[min(1, len(remote)):]...)
	}
	x.ticks++
	deferred := func(to Source) bool { return isCollector && x.ticks%2 == 0 && slices.Contains(standbys, to) }
	for to, us := range x.takePending(recipients, deferred) {
		if len(us) == 0 && !isCollector {
			x.clearInFlight(to)
			continue
		}
		go x.forwardTo(ctx, to, Report{From: x.cfg.DC, Aggregated: true, Usage: us, Standby: isCollector && slices.Contains(localCollectors, to)})
	}
}

// forwardTo sends one forward. Usage that an unreachable collector missed is
// dropped: that collector already reserves this data centre's share, and counting
// old usage later would deduct it twice.
func (x *Exchange) forwardTo(ctx context.Context, to Source, r Report) {
	defer x.clearInFlight(to)
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := x.cfg.Send(ctx, to, r); err != nil {
		x.backOff(to, err)
	}
}

// clearInFlight allows the next forward to a collector.
func (x *Exchange) clearInFlight(to Source) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.inFlight, to)
}

// collector returns the collector that this node reports to: one in its own
// data centre, or in another if none of its own is available.
func (x *Exchange) collector(own []Source, others [][]Source) (to Source, ok bool) {
	for _, dc := range append([][]Source{own}, others...) {
		if collectors := x.available(dc); len(collectors) > 0 {
			return collectors[0], true
		}
	}
	if len(own) == 0 {
		return "", false
	}
	return own[0], true
}

// available returns the first collectorsPerDC collectors that are not backed
// off.
func (x *Exchange) available(collectors []Source) []Source {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var out []Source
	for _, c := range collectors {
		if len(out) < collectorsPerDC && !x.backoffUntil[c].After(now) {
			out = append(out, c)
		}
	}
	return out
}

// backOff reports a failure and skips the collector for collectorBackoff.
func (x *Exchange) backOff(to Source, err error) {
	x.cfg.OnError(to, err)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.backoffUntil[to] = time.Now().Add(collectorBackoff)
}

// takePending removes and returns the pending usage of each recipient, except
// those that are deferred or have a forward in flight.
func (x *Exchange) takePending(recipients []Source, deferred func(Source) bool) map[Source][]Usage {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[Source][]Usage, len(recipients))
	remaining := make(map[Source]map[Name]Usage, len(recipients))
	for _, to := range recipients {
		if queued := x.pending[to]; queued != nil && (x.inFlight[to] || deferred(to)) {
			remaining[to] = queued
			continue
		}
		us := make([]Usage, 0, len(x.pending[to]))
		for _, u := range x.pending[to] {
			us = append(us, u)
		}
		out[to], remaining[to] = us, map[Name]Usage{}
		x.inFlight[to] = true
	}
	x.pending = remaining
	return out
}
