package directory

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// leastBackoff and mostBackoff bound the pause before asking a source that
	// failed again. Every refused call is priced too; the upper bound keeps
	// a node within two seconds of a configuration after the source is back.
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = time.Second
)

// Backoff is how long to pause before the next try; it doubles with each
// failure. The zero value begins at the least.
type Backoff struct {
	next time.Duration
}

// Next returns how long to pause now: about the next time, spread so that
// nodes that failed together do not ask again together.
func (b *Backoff) Next() time.Duration {
	d := max(b.next, leastBackoff)
	b.next = min(2*d, mostBackoff)
	return d/2 + rand.N(d)
}

// Wait pauses for the next time, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context) { Pause(ctx, b.Next()) }

// Reset begins anew after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Pause waits for a time or ctx's end.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
