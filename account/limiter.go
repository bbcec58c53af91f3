package account

import (
	"sync"
	"time"
)

const (
	// mostWait is the longest time after which a refused caller is told to come
	// back.
	mostWait = 5 * time.Second
	// aloneTokens is how many requests of an account that it knows nothing of a
	// node lets in at once that cannot ask the others.
	aloneTokens = 1
	// freshFor is how long what was told of an account holds of which nothing is
	// held back. A node that is cut off when it does not know yet that the account
	// goes up would let in all of it.
	freshFor = 300 * time.Millisecond
	// calmAsked is how many more requests than its share a node may see by
	// chance between two reports.
	calmAsked = 3
)

type (
	// Limiter decides at one node which requests of accounts are within their
	// limits over all nodes, by what a Tally last said of them. It is safe for
	// concurrent use.
	Limiter struct {
		mu       sync.Mutex
		accounts map[Name]*bucket
		alone    bool // nothing is heard of the others
		nodes    int  // there are, as last known
	}

	// bucket is the node's own part of an account's tokens.
	bucket struct {
		tokens float64
		at     time.Time // when they were so many
		rate   float64   // at which they grow
		most   float64   // to which

		// What a Tally said last, and when; zero before it did.
		toldAt  time.Time
		share   float64 // of the account's rate that is this node's
		fair    float64 // that, in requests a second
		free    bool    // nothing is held back
		pressed bool    // the account is near its limit

		// What the next report tells. told says that the account was in the
		// last one: the next says that it is asked for no more.
		asked, admitted int32
		told            bool

		promised time.Time // when the last of the refused callers was told to come
	}
)

// NewLimiter returns a Limiter that was told nothing, and goes by an even share
// until it is: what all nodes let in before they were started anew counts too.
func NewLimiter() *Limiter {
	return &Limiter{accounts: map[Name]*bucket{}, nodes: 1, alone: true}
}

// Take lets a request of an account in, if that is within its limit, or says
// when there will be room for one.
func (l *Limiter) Take(a *Account) (ok bool, after time.Duration) {
	if a == nil || a.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	b := l.bucket(a, now)
	b.refill(now)
	if b.free && now.Sub(b.toldAt) > freshFor {
		b.holdBack(a, b.share, calmAsked)
	}
	b.asked++
	if b.tokens > 0 {
		b.tokens--
		b.admitted++
		return true, 0
	}
	return false, b.promise(now)
}

// Return gives back what was taken for a request that did not run.
func (l *Limiter) Return(a *Account) {
	if a == nil || a.Rate <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.accounts[a.Name]; b != nil {
		b.tokens++
		b.admitted--
	}
}

// bucket returns an account's bucket. One that nothing was told of is full, if
// the others can be asked: the next report is some tenths of a second away, and a
// node sees few requests of an account in that time.
func (l *Limiter) bucket(a *Account, now time.Time) *bucket {
	b := l.accounts[a.Name]
	if b == nil {
		b = &bucket{tokens: depth(a), at: now, rate: a.Rate, most: depth(a)}
		if l.alone {
			b.holdBack(a, 1/float64(l.nodes), aloneTokens)
		}
		l.accounts[a.Name] = b
	}
	return b
}

func (b *bucket) refill(now time.Time) {
	b.tokens = min(b.tokens+b.rate*now.Sub(b.at).Seconds(), b.most)
	b.at = now
}

// promise returns when a refused caller is to come back, after those refused
// before it, so that they come at the rate at which they can be let in.
func (b *bucket) promise(now time.Time) time.Duration {
	if b.rate <= 0 {
		return mostWait
	}
	each := time.Duration(float64(time.Second) / b.rate)
	open := now.Add(time.Duration(-b.tokens * float64(each)))
	if b.promised.After(open) {
		open = b.promised
	}
	b.promised = open.Add(each)
	if wait := b.promised.Sub(now); wait < mostWait {
		return wait
	}
	b.promised = now.Add(mostWait)
	return mostWait
}

// Report returns what the node was asked for and let in since the report
// before.
func (l *Limiter) Report() []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	var us []Usage
	for name, b := range l.accounts {
		if b.asked > 0 || b.admitted != 0 || b.told {
			us = append(us, Usage{Account: name, Asked: b.asked, Admitted: b.admitted})
		}
		b.told = b.asked > 0
		b.asked, b.admitted = 0, 0
	}
	return us
}

// Pressed reports whether some account is near its limit, or was asked for more
// in a time than is this node's share: the others are to know of that soon.
func (l *Limiter) Pressed(in time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.accounts {
		if b.asked > 0 && (b.pressed || float64(b.asked) > b.fair*in.Seconds()+calmAsked) {
			return true
		}
	}
	return false
}

// Untold takes back a report that nobody took: it goes with the next.
func (l *Limiter) Untold(us []Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range us {
		if b := l.accounts[u.Account]; b != nil {
			b.asked += u.Asked
			b.admitted += u.Admitted
		}
	}
}

// Learn takes over how the accounts of the last report stand.
func (l *Limiter) Learn(book *Book, of []Standing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alone = false
	now := time.Now()
	for _, s := range of {
		a := book.Find(s.Account)
		b := l.accounts[s.Account]
		if a == nil || b == nil {
			continue
		}
		b.share, b.at, b.toldAt = float64(s.Share), now, now
		b.tokens = float64(s.Tokens) - float64(b.admitted)
		b.rate, b.most = a.Rate*b.share, depth(a)
		b.fair = b.rate
		if b.free, b.pressed = s.Free, !s.Free; s.Free {
			b.rate = a.Rate
		}
	}
}

// Among notes how many nodes there are.
func (l *Limiter) Among(nodes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes = max(nodes, 1)
}

// Alone notes that nobody took reports for some time, so nobody knows what the
// others let in. Each account goes on with the share of its rate that this node
// had, or an even one.
func (l *Limiter) Alone(book *Book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.alone {
		return
	}
	l.alone = true
	now := time.Now()
	for name, b := range l.accounts {
		if a := book.Find(name); a != nil {
			b.refill(now)
			b.holdBack(a, max(b.share, 1/float64(l.nodes)), aloneTokens)
		}
	}
}

// holdBack lets this node take its share only, and a few requests where that is
// less.
func (b *bucket) holdBack(a *Account, share, least float64) {
	b.free, b.rate = false, a.Rate*share
	b.most = max(depth(a)*share, least)
	b.tokens = min(b.tokens, b.most)
}

// Keep forgets the accounts that a Book does not have, and takes over the
// limits of the others.
func (l *Limiter) Keep(book *Book) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, b := range l.accounts {
		a := book.Find(name)
		if a == nil {
			delete(l.accounts, name)
			continue
		}
		b.rate, b.most = min(b.rate, a.Rate), min(b.most, depth(a))
		b.tokens = min(b.tokens, b.most)
	}
}
