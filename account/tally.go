package account

import (
	"maps"
	"sync"
	"time"
)

const (
	// silentAfter is when a node that has not said that it is done counts as cut
	// off, and gatheredSilent when a data centre does, which tells more often: it
	// goes on with its share by itself.
	silentAfter    = 2 * time.Second
	pressedSilent  = 1200 * time.Millisecond // of an account near its limit
	gatheredSilent = 700 * time.Millisecond
	// backlogKept is how long before it tells what a source let in counts that
	// was cut off: its share was held back for it, or there was room for all, and
	// the whole would be a debt that nobody made.
	backlogKept = 2 * time.Second
	// silentKept is how long that share is kept from the others.
	silentKept = 15 * time.Second
	// firstTokens is the part of a second's rate, or of the burst if that is
	// less, that an account has where nothing is known of it: what it used up
	// before all nodes were started anew counts in the same window.
	firstTokens = 0.25
	// depthTime and depthLeast are added to an account's burst, as a time of its
	// rate and as a number: requests that come in at many nodes are seen
	// together only some tenths of a second later, and chance brings a few more
	// at once than a small account's rate.
	depthTime  = 100 * time.Millisecond
	depthLeast = 4
)

type (
	// Tally adds up the usage of all accounts, as a data centre's collector
	// hears of it, and says what is left to each source. One token bucket an
	// account stands for all nodes. It is safe for concurrent use.
	Tally struct {
		mu       sync.Mutex
		accounts map[Name]*count
		heard    map[Source]time.Time // when each source last told
	}

	// count is one account's bucket and who asks for it.
	count struct {
		tokens  float64
		at      time.Time
		sources map[Source]*demand
		silent  map[Source]float64 // part of the demand of each source that is cut off
		// charged is what nodes of this data centre that are cut off may have
		// let in, and the other data centres were not told yet.
		charged float64
	}
)

// NewTally returns a Tally that knows of no usage.
func NewTally() *Tally { return &Tally{accounts: map[Name]*count{}, heard: map[Source]time.Time{}} }

// Add takes a report in and returns how the accounts that it names stand.
func (t *Tally) Add(b *Book, r Report) []Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch {
	case r.Standby:
		t.take(b, r.Usage, now)
		return nil
	case r.Moved:
		t.forget(r.From)
		return nil
	}
	since, told := now.Sub(t.heard[r.From]), map[Name]bool{}
	t.heard[r.From] = now
	out := make([]Standing, 0, len(r.Usage))
	for _, u := range r.Usage {
		a := b.Find(u.Account)
		if a == nil || a.Rate <= 0 {
			continue
		}
		told[u.Account] = true
		c := t.count(a, now)
		c.tokens -= u.tokens(since)
		d := c.source(r.From)
		d.gathered = r.Gathered
		d.ask(float64(u.Asked), since, now, c.pressed(a))
		out = append(out, c.standing(a, r.From))
	}
	t.quiet(r.From, told, since, now)
	return out
}

// tokens returns how many count of what a source let in since it told before.
func (u *Usage) tokens(since time.Duration) float64 {
	if since <= backlogKept {
		return float64(u.Admitted)
	}
	return float64(u.Admitted) * backlogKept.Seconds() / since.Seconds()
}

// take takes off what was let in.
func (t *Tally) take(b *Book, us []Usage, now time.Time) {
	for _, u := range us {
		if a := b.Find(u.Account); a != nil && a.Rate > 0 {
			t.count(a, now).tokens -= float64(u.Admitted)
		}
	}
}

// forget drops a source that tells another collector: silent here it would be
// taken for one that is cut off, and its share held back.
func (t *Tally) forget(from Source) {
	delete(t.heard, from)
	for _, c := range t.accounts {
		delete(c.sources, from)
		delete(c.silent, from)
	}
}

// Charged returns what other data centres are to know besides what nodes told:
// what those that are cut off may have let in.
func (t *Tally) Charged(b *Book) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var us []Usage
	now := time.Now()
	maps.DeleteFunc(t.heard, func(_ Source, at time.Time) bool { return now.Sub(at) > silentKept })
	for name, c := range t.accounts {
		a := b.Find(name)
		if a == nil {
			delete(t.accounts, name)
			continue
		}
		c.refill(a, now)
		if n := int32(c.charged); n > 0 {
			c.charged -= float64(n)
			us = append(us, Usage{Account: name, Admitted: n})
		}
	}
	return us
}

// quiet notes that a source is asked for nothing more on the accounts that it
// does not name.
func (t *Tally) quiet(from Source, told map[Name]bool, since time.Duration, now time.Time) {
	for name, c := range t.accounts {
		if d := c.sources[from]; d != nil && !told[name] {
			d.ask(0, since, now, false)
			if d.rate < 1/silentKept.Seconds() {
				delete(c.sources, from)
				delete(c.silent, from)
			}
		}
	}
}

func (t *Tally) count(a *Account, now time.Time) *count {
	c := t.accounts[a.Name]
	if c == nil {
		c = &count{tokens: min(a.Rate, a.Burst) * firstTokens, at: now, sources: map[Source]*demand{}, silent: map[Source]float64{}}
		t.accounts[a.Name] = c
	}
	c.refill(a, now)
	return c
}

// refill adds what the rate allows, less the part of sources that are cut off.
func (c *count) refill(a *Account, now time.Time) {
	dt := now.Sub(c.at).Seconds()
	c.at = now
	own, far := c.silentParts(a, now)
	c.charged += a.Rate * own * dt
	here := max(1-own-far, 0)
	c.tokens = min(c.tokens+a.Rate*here*dt, depth(a)*here)
}

// depth is how many tokens a bucket holds at most.
func depth(a *Account) float64 { return a.Burst + a.Rate*depthTime.Seconds() + depthLeast }

func (c *count) source(s Source) *demand {
	d := c.sources[s]
	if d == nil {
		d = &demand{}
		c.sources[s] = d
	}
	return d
}

// pressed reports whether so many tokens are gone that each source has its share.
func (c *count) pressed(a *Account) bool { return c.tokens < depth(a)/2 }

// silentParts are the parts of what is asked that nodes of this data centre are,
// and others, which are cut off. It is what they were asked for until they were,
// and goes back to the rest when they are heard of again, or not for long.
func (c *count) silentParts(a *Account, now time.Time) (own, far float64) {
	var all float64
	for _, d := range c.sources {
		all += d.before
	}
	for s, d := range c.sources {
		gone := now.Sub(d.at)
		part, known := c.silent[s]
		switch {
		case gone > silentKept:
			delete(c.sources, s)
			delete(c.silent, s)
			continue
		case gone <= c.patience(a, d):
			delete(c.silent, s)
			continue
		case !known && all > 0:
			part = d.before / all
			c.silent[s] = part
			c.withhold(a, d, part*(depth(a)+a.Rate*gone.Seconds()))
		}
		if d.gathered {
			far += part
		} else {
			own += part
		}
	}
	return own, far
}

// withhold takes off what a source may have taken since it was last heard of,
// its part of all tokens.
func (c *count) withhold(a *Account, d *demand, tokens float64) {
	c.tokens -= tokens
	if !d.gathered {
		c.charged += tokens
	}
}

// patience is after how long without a word a source counts as cut off.
func (c *count) patience(a *Account, d *demand) time.Duration {
	switch {
	case d.gathered:
		return gatheredSilent
	case c.pressed(a):
		return pressedSilent
	}
	return silentAfter
}

// standing is how an account stands for a source. While the bucket is half full
// all may take from it; then each its share of the tokens by what it is asked
// for, or an even one: few requests of a small account come to many nodes.
func (c *count) standing(a *Account, from Source) Standing {
	var now, usual float64
	for _, d := range c.sources {
		now += d.rate
		usual += d.before
	}
	d, even := c.sources[from], 1/float64(len(c.sources))
	s := Standing{Account: a.Name, Tokens: float32(c.tokens), Share: float32(part(d.before, usual)), Free: !c.pressed(a)}
	if !s.Free {
		s.Tokens *= float32(max(part(d.rate, now), even))
	}
	return s
}
