package memory

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"
)

const (
	// SmallBody is the size in bytes up to which bodies may use all of an account.
	// Larger ones leave a part of it, so that small bodies go on beside a burst of
	// large ones.
	SmallBody = 64 << 10
	// largeNum / largeDen is the fraction of the limit that larger bodies may use.
	largeNum = 3
	largeDen = 4
	// idleDivisor is the fraction of the limit up to which others may hold bytes while
	// one large body may use all of it: the largest body allowed is not to be refused
	// for ever.
	idleDivisor = 16
)

// ErrNoMemory means that an account has no room for a body.
var ErrNoMemory = eris.New("no memory for the body")

// Account counts the bytes held for bodies. The zero value and nil have no limit. It
// is safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	limit int64 // 0 for none
	used  int64
	freed chan struct{} // closed and replaced when bytes are given back; nil if nobody waits
}

// SetLimit sets the limit in bytes; 0 for none.
func (a *Account) SetLimit(bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit = bytes
	a.wake()
}

// Limit returns the limit in bytes; 0 for none.
func (a *Account) Limit() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit
}

// Used returns the number of bytes held.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Take counts n bytes and reports whether there was room for them.
func (a *Account) Take(n int64) bool { return a.takeMore(n, 0) }

// takeMore is Take for a body of which own bytes are counted already.
func (a *Account) takeMore(n, own int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.fits(n, own) {
		return false
	}
	a.used += n
	return true
}

func (a *Account) fits(n, own int64) bool {
	limit := a.limit
	switch {
	case limit == 0:
		return true
	case n > SmallBody && a.used-own > limit/idleDivisor:
		limit = limit * largeNum / largeDen
	}
	return a.used+n <= limit
}

// Await counts n bytes once there is room for them. The error is that of ctx, or
// ErrNoMemory if there never will be.
func (a *Account) Await(ctx context.Context, n int64) error {
	if a == nil {
		return nil
	}
	for {
		a.mu.Lock()
		if a.fits(n, 0) {
			a.used += n
			a.mu.Unlock()
			return nil
		}
		if n > a.limit {
			a.mu.Unlock()
			return ErrNoMemory
		}
		if a.freed == nil {
			a.freed = make(chan struct{})
		}
		freed := a.freed
		a.mu.Unlock()
		select {
		case <-freed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Give gives back n bytes.
func (a *Account) Give(n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used -= n
	a.wake()
}

// wake ends the waits of Await; a.mu must be held.
func (a *Account) wake() {
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}
