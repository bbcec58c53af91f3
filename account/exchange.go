package account

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// tellEvery is how often a node tells of accounts that are near their
	// limits, and a collector tells the other data centres'. An account that
	// is asked for five times its rate must be known everywhere within a second.
	tellEvery = 150 * time.Millisecond
	// calmEvery is how often a node tells otherwise.
	calmEvery = time.Second
	// tellTime is how long the answer to a report may take.
	tellTime = 400 * time.Millisecond
	// aloneAfter is how long nobody must have taken a report for a node to go
	// by its own share.
	aloneAfter = 500 * time.Millisecond
	// passedFor is how long a collector that did not answer is passed over.
	passedFor = 3 * time.Second
	// keptUpToDate is how many collectors of a data centre know what was let in:
	// the one that its nodes tell and the next.
	keptUpToDate = 2
	// toldKept is how long a node goes on telling after it had usage to tell.
	toldKept = 10 * time.Second
)

type (
	// ExchangeConfig is what an Exchange is built from.
	ExchangeConfig struct {
		Self Source // this node
		DC   Source // its data centre
		// Book returns the accounts in force; nil for none.
		Book func() *Book
		// Nodes returns the addresses of those that collect usage: in this data
		// centre in the order in which they are to be asked, this one may be
		// among them, and the same for each other. total is how many nodes there
		// are.
		Nodes func() (own []Source, others [][]Source, total int)
		// Tell hands a report to a node and returns its answer.
		Tell func(ctx context.Context, at Source, r Report) ([]Standing, error)
		// Failed is told of each report that a node did not take.
		Failed func(at Source, err error)
	}

	// Exchange keeps a node's Limiter up to date: it tells one collector of its
	// data centre what was let in here, and learns what is left. A collector
	// adds up what the nodes of its data centre tell, and tells the others'.
	// It is safe for concurrent use.
	Exchange struct {
		cfg     ExchangeConfig
		limiter *Limiter
		tally   *Tally

		// Only the goroutine that reports uses these.
		reported time.Time // when this node last told
		had      time.Time // when it last had usage to tell
		failing  time.Time // since when nobody took a report; zero while one does
		tells    Source    // the collector that it told last

		ticks int // of telling other collectors; only the goroutine that does uses it

		mu       sync.Mutex
		passed   map[Source]time.Time      // collectors that did not answer, until when
		gathered map[Source]map[Name]Usage // for each collector elsewhere, since it was told
		telling  map[Source]bool           // collectors that are being told
	}
)

// NewExchange returns an Exchange for a Limiter; Run starts it.
func NewExchange(cfg ExchangeConfig, l *Limiter) *Exchange {
	return &Exchange{cfg: cfg, limiter: l, tally: NewTally(), gathered: map[Source]map[Name]Usage{}, telling: map[Source]bool{}, passed: map[Source]time.Time{}}
}

// Run tells and learns until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	go x.each(ctx, func(b *Book) {
		own, others, _ := x.cfg.Nodes()
		x.gather(x.tally.Charged(b))
		x.tellOn(ctx, own, others)
	})
	x.each(ctx, func(b *Book) {
		own, others, total := x.cfg.Nodes()
		if total > 0 {
			x.limiter.Among(total)
		}
		x.report(ctx, b, own, others)
	})
}

// each calls f every tellEvery while there are accounts, until ctx ends.
func (x *Exchange) each(ctx context.Context, f func(*Book)) {
	for wait := tellEvery; ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		b := x.cfg.Book()
		if b == nil {
			wait = calmEvery // there is nothing to tell
			continue
		}
		wait = tellEvery
		f(b)
	}
}

// Take takes in what a node tells, and answers it.
func (x *Exchange) Take(r Report) []Standing {
	book := x.cfg.Book()
	if book == nil {
		return nil
	}
	of := x.tally.Add(book, r)
	if r.Gathered {
		return nil
	}
	x.gather(r.Usage)
	return of
}

// report tells a collector what this node let in.
func (x *Exchange) report(ctx context.Context, book *Book, own []Source, others [][]Source) {
	since := time.Since(x.reported)
	if since < calmEvery-tellEvery/2 && x.failing.IsZero() && !x.limiter.Pressed(since) {
		return
	}
	us := x.limiter.Report()
	if len(us) > 0 {
		x.had = time.Now()
	}
	if time.Since(x.had) > toldKept {
		return
	}
	x.reported = time.Now()
	r := Report{From: x.cfg.Self, Usage: us}
	at, ok := x.collector(own, others)
	if !ok {
		x.limiter.Untold(us)
		x.failed(book)
		return
	}
	x.moveTo(ctx, at)
	if at == x.cfg.Self {
		x.learnt(book, x.Take(r))
		return
	}
	tctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	of, err := x.cfg.Tell(tctx, at, r)
	if err == nil {
		x.learnt(book, of)
		return
	}
	x.limiter.Untold(us)
	x.passOver(at, err)
	x.failed(book)
}

// moveTo lets the collector that this node told before know that it tells another.
func (x *Exchange) moveTo(ctx context.Context, at Source) {
	before := x.tells
	if x.tells = at; before == at || before == "" {
		return
	}
	r := Report{From: x.cfg.Self, Moved: true}
	if before == x.cfg.Self {
		x.Take(r)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, tellTime)
		defer cancel()
		if _, err := x.cfg.Tell(ctx, before, r); err != nil {
			x.cfg.Failed(before, err)
		}
	}()
}

func (x *Exchange) learnt(book *Book, of []Standing) {
	x.failing = time.Time{}
	x.limiter.Learn(book, of)
}

// failed notes that nobody took a report.
func (x *Exchange) failed(book *Book) {
	if x.failing.IsZero() {
		x.failing = time.Now()
	}
	if time.Since(x.failing) >= aloneAfter {
		x.limiter.Alone(book)
	}
}

// gather adds what nodes told to what the collectors elsewhere are to know.
func (x *Exchange) gather(us []Usage) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, all := range x.gathered {
		for _, u := range us {
			sum := all[u.Account]
			all[u.Account] = Usage{Account: u.Account, Asked: sum.Asked + u.Asked, Admitted: sum.Admitted + u.Admitted}
		}
	}
}

// tellOn tells the collectors elsewhere what this one gathered, and the next in
// its own place and theirs, half as often: who takes over is to know what was
// used up. A node that others ask in the collector's place tells that one.
func (x *Exchange) tellOn(ctx context.Context, own []Source, others [][]Source) {
	near := x.candidates(own)
	collects := len(near) > 0 && near[0] == x.cfg.Self
	var to []Source
	for _, at := range near {
		if at != x.cfg.Self {
			to = append(to, at)
		}
	}
	next := slices.Clone(to) // in a collector's place
	for _, dc := range others {
		there := x.candidates(dc)
		to = append(to, there...)
		next = append(next, there[min(1, len(there)):]...)
	}
	x.ticks++
	later := func(at Source) bool { return collects && x.ticks%2 == 0 && slices.Contains(next, at) }
	for at, us := range x.swap(to, later) {
		if len(us) == 0 && !collects {
			x.done(at)
			continue
		}
		go x.tellGathered(ctx, at, Report{From: x.cfg.DC, Gathered: true, Usage: us, Standby: collects && slices.Contains(near, at)})
	}
}

// tellGathered tells one collector. What one that is cut off was not told is
// dropped: it keeps this data centre's share from its own nodes meanwhile, and
// what was let in long ago would be taken off a second time.
func (x *Exchange) tellGathered(ctx context.Context, at Source, r Report) {
	defer x.done(at)
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	if _, err := x.cfg.Tell(ctx, at, r); err != nil {
		x.passOver(at, err)
	}
}

// done notes that a collector may be told again.
func (x *Exchange) done(at Source) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.telling, at)
}

// collector is the one that this node is to tell: of its own data centre, or of
// another where none of its own answers.
func (x *Exchange) collector(own []Source, others [][]Source) (at Source, ok bool) {
	for _, dc := range append([][]Source{own}, others...) {
		if of := x.candidates(dc); len(of) > 0 {
			return of[0], true
		}
	}
	if len(own) == 0 {
		return "", false
	}
	return own[0], true
}

// candidates are the first of some collectors that are not passed over, as many
// as are kept up to date.
func (x *Exchange) candidates(of []Source) []Source {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	var out []Source
	for _, at := range of {
		if len(out) < keptUpToDate && !x.passed[at].After(now) {
			out = append(out, at)
		}
	}
	return out
}

// passOver lets another collector take the place of one for a while.
func (x *Exchange) passOver(at Source, err error) {
	x.cfg.Failed(at, err)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.passed[at] = time.Now().Add(passedFor)
}

// swap takes what was gathered for each of some collectors, but for those that
// are being told or are to be told later.
func (x *Exchange) swap(others []Source, later func(Source) bool) map[Source][]Usage {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[Source][]Usage, len(others))
	next := make(map[Source]map[Name]Usage, len(others))
	for _, at := range others {
		if all := x.gathered[at]; all != nil && (x.telling[at] || later(at)) {
			next[at] = all
			continue
		}
		us := make([]Usage, 0, len(x.gathered[at]))
		for _, u := range x.gathered[at] {
			us = append(us, u)
		}
		out[at], next[at] = us, map[Name]Usage{}
		x.telling[at] = true
	}
	x.gathered = next
	return out
}
