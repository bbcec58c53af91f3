package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// tellTime is how long after a node passed on an answer with a rate limit
	// its requests may reach the target without regard to it.
	tellTime = 500 * time.Millisecond
	// limitWindow is the period in which a target may get limitRatio times what
	// its rate limit allows, plus limitSlack requests.
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
	// limitStep is the step in which a changing limit is summed up.
	limitStep = 20 * time.Millisecond
	// drainBound is how long after a node passed on an answer that states a
	// leaving it may send new requests to the target.
	drainBound = 2 * time.Second
)

// rateLimitTexts are the rate limits that targets state.
var rateLimitTexts = []string{"0.3", "0.9", "2", "5.5", "12", "30", "0", "much", "-4"}

// makeTargetsState lets several targets at a time state rate limits, which
// change, are malformed and end, or that they leave, for a period.
func makeTargetsState(d *deployment, r *rand.Rand, period time.Duration) {
	var wg sync.WaitGroup
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 200, 1500)) {
		for range 1 + r.IntN(len(d.vms)/2) {
			v, needRand := d.vms[r.IntN(len(d.vms))], rand.New(rand.NewPCG(r.Uint64(), 0))
			state := stateRateLimits
			if r.IntN(5) == 0 {
				state = stateLeaving
			}
			wg.Go(func() {
				if v.statesMu.TryLock() {
					defer v.statesMu.Unlock()
					state(d, v, needRand)
				}
			})
		}
	}
	wg.Wait()
}

// currentTarget returns the target of v once no fault affects it.
func (v *vm) currentTarget() *Target {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	return v.target
}

func stateRateLimits(_ *deployment, v *vm, r *rand.Rand) {
	t := v.currentTarget()
	for range 1 + r.IntN(3) {
		t.SetRateLimit(rateLimitTexts[r.IntN(len(rateLimitTexts))])
		time.Sleep(randomMillis(r, 500, 3500))
	}
	t.SetRateLimit("")
}

// stateLeaving lets a target state that it leaves, without a word of it in the
// store, and replaces it some seconds later.
func stateLeaving(d *deployment, v *vm, r *rand.Rand) {
	t := v.currentTarget()
	t.SetLeaving()
	time.Sleep(randomMillis(r, 2500, 4500))
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	if v.target == t {
		d.replaceTarget(v)
	}
}

// telling is an answer that a node passed on to its caller.
type telling struct {
	vm *vm
	at time.Time
}

// statementViolations describes the requests that targets got against what they
// had stated, from nodes that had passed it on and were not restarted, killed or
// paused since.
func (d *deployment) statementViolations() []string {
	byID := map[string]outcome{}
	limited, leaving := map[string][]telling{}, map[string][]telling{}
	for _, o := range d.outcomes() {
		byID[o.id] = o
		if _, valid := parseRateLimit(o.rateLimit); valid {
			limited[o.run] = append(limited[o.run], telling{o.vm, o.done})
		}
		if o.leaving {
			leaving[o.run] = append(leaving[o.run], telling{o.vm, o.done})
		}
	}
	var list []string
	for _, v := range d.vms {
		for _, t := range append(slices.Clone(v.previousTargets), v.target) {
			list = append(list, t.lateArrivals(byID, leaving[t.run])...)
			list = append(list, t.excessArrivals(byID, limited[t.run])...)
		}
	}
	return list
}

// knew reports whether a node had passed on one of the answers, a period or more
// before a time, and has been up since.
func knew(tellings []telling, v *vm, period time.Duration, at time.Time) bool {
	return slices.ContainsFunc(tellings, func(x telling) bool {
		return x.vm == v && x.at.Add(period).Before(at) && !v.outages.overlaps(x.at, at)
	})
}

// lateArrivals describes the requests that arrived after their node knew that
// the target leaves.
func (t *Target) lateArrivals(byID map[string]outcome, tellings []telling) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, a := range t.arrivals {
		if o, ok := byID[a.id]; ok && knew(tellings, o.vm, drainBound, o.sent) {
			list = append(list, fmt.Sprintf("%s from node-%d reached %s later than %s after it stated that it leaves", a.id, o.vm.n, t.run, drainBound))
		}
	}
	return list
}

// excessArrivals describes the worst limitWindow, for each period with a rate
// limit, in which more requests arrived than it allows, from nodes that knew of it.
func (t *Target) excessArrivals(byID map[string]outcome, tellings []telling) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []string
	for _, p := range t.limitedPeriods() {
		told := slices.DeleteFunc(slices.Clone(tellings), func(x telling) bool { return x.at.Before(p.from) || x.at.After(p.to) })
		var counted []time.Time
		for _, a := range t.arrivals {
			if o, ok := byID[a.id]; ok && a.at.Before(p.to) && knew(told, o.vm, tellTime, a.at) {
				counted = append(counted, a.at)
			}
		}
		if text := t.worstExcess(counted, p.to); text != "" {
			list = append(list, text)
		}
	}
	return list
}

// worstExcess describes the limitWindow with the largest excess of the arrivals,
// all before the end of a limited period, over what the rate limit allows, or
// returns an empty string.
func (t *Target) worstExcess(arrivals []time.Time, end time.Time) string {
	worst, text := 0.0, ""
	for i, first := range arrivals {
		allowed := t.allowedIn(first, end)
		for n, at := range arrivals[i:] {
			if at.Sub(first) > limitWindow {
				break
			}
			if excess := float64(n+1) - allowed; excess > worst {
				worst, text = excess, fmt.Sprintf("%s got %d requests in %s from %s on, from nodes that knew its rate limit, allowed %.1f; limits %v",
					t.run, n+1, at.Sub(first), first.UTC().Format(time.RFC3339Nano), allowed, t.limits)
			}
		}
	}
	return text
}

// allowedIn returns how many requests the rate limit allows in the limitWindow
// from a time on, with its last value from the end of the limited period on.
func (t *Target) allowedIn(from, end time.Time) float64 {
	allowed := float64(limitSlack)
	last := t.limitAt(end.Add(-time.Nanosecond))
	for at := from; at.Before(from.Add(limitWindow)); at = at.Add(limitStep) {
		limit := last
		if at.Before(end) {
			limit = t.limitAt(at)
		}
		allowed += limitRatio * limit * limitStep.Seconds()
	}
	return allowed
}

// String returns the change and its time for messages.
func (c limitChange) String() string {
	return fmt.Sprintf("%s: %q", c.at.UTC().Format(time.RFC3339Nano), c.text)
}

// limitedPeriod is a period in which a target had a rate limit.
type limitedPeriod struct{ from, to time.Time }

func (t *Target) limitedPeriods() []limitedPeriod {
	var list []limitedPeriod
	limited := false
	for _, c := range t.limits {
		switch {
		case c.none && limited:
			list[len(list)-1].to = c.at
		case !c.none && !limited:
			list = append(list, limitedPeriod{from: c.at, to: time.Now()})
		}
		limited = !c.none
	}
	return list
}

// limitAt returns the highest rate limit that the target stated within tellTime
// before a time.
func (t *Target) limitAt(at time.Time) float64 {
	highest := 0.0
	for i, c := range t.limits {
		ended := i+1 < len(t.limits) && t.limits[i+1].at.Before(at.Add(-tellTime))
		if !c.none && !ended && !c.at.After(at) {
			highest = max(highest, c.perSecond)
		}
	}
	return highest
}

// unusedTargets describes the targets that stated a rate limit, no longer do,
// and got no request since a time.
func (d *deployment) unusedTargets(since time.Time) []string {
	var list []string
	for _, v := range d.vms {
		t := v.currentTarget()
		t.mu.Lock()
		used := slices.ContainsFunc(t.arrivals, func(a arrival) bool { return a.at.After(since) })
		if len(t.limits) > 0 && !used {
			list = append(list, fmt.Sprintf("%s of node-%d gets no requests although its rate limit has ended", t.run, v.n))
		}
		t.mu.Unlock()
	}
	return list
}
