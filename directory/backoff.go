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

// backoff is how long to pause before the next try; it doubles with each
// failure. The zero value begins at the least.
type backoff struct {
	next time.Duration
}

// wait pauses for about the next time, spread so that nodes that failed
// together do not ask again together.
func (b *backoff) wait(ctx context.Context) {
	d := max(b.next, leastBackoff)
	pause(ctx, d/2+rand.N(d))
	b.next = min(2*d, mostBackoff)
}

// reset begins anew after a success.
func (b *backoff) reset() { b.next = 0 }

// pause waits for a time or ctx's end.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
