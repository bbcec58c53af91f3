package directory

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause before a failed call is repeated.
	// maxBackoff lets a node have a configuration within 2 s after the source is
	// back.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Backoff is an exponential backoff with jitter. The zero value starts at the
// minimum. It is not safe for concurrent use.
type Backoff struct {
	next time.Duration
}

// Next returns the next delay and doubles the one after it. The jitter of half
// the delay either way keeps nodes that failed together from retrying together.
func (b *Backoff) Next() time.Duration {
	d := max(b.next, minBackoff)
	b.next = min(2*d, maxBackoff)
	return d/2 + rand.N(d)
}

// Wait pauses for the next delay, or until ctx ends.
func (b *Backoff) Wait(ctx context.Context) { Pause(ctx, b.Next()) }

// Reset returns to the minimum delay after a success.
func (b *Backoff) Reset() { b.next = 0 }

// Pause waits for d, or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
