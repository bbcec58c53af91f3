package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// watchWait is how long one watch waits for a change. Each watch is a
	// priced call; a connection that went silent is noticed by its
	// keep-alive probes well before.
	watchWait = 20 * time.Second
	// readWait bounds a read that is answered at once: thousands of times
	// its usual milliseconds, and under what a slow source takes (some
	// hundred milliseconds).
	readWait = 2 * time.Second
	// backoffMin and backoffMax bound the pause before asking a source that
	// failed again. Every refused call is priced too; the upper bound keeps
	// a node within two seconds of a configuration after the source is back.
	backoffMin = 50 * time.Millisecond
	backoffMax = time.Second
	// settleEvery is how often doubtful instances are looked at.
	settleEvery = 250 * time.Millisecond
)

// ErrHistoryLost is returned by a watch after a revision whose following
// changes the source no longer knows.
var ErrHistoryLost = eris.New("the source no longer has the changes after this revision")

// Source is where routes and instances are published.
type Source interface {
	// Load reads everything that is published.
	Load(ctx context.Context) (Snapshot, error)
	// Watch waits up to wait for changes after a revision and returns them
	// with the revision to go on from. The error is ErrHistoryLost when the
	// source cannot tell them any more.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
}

// Follow keeps d up to date with a source until ctx ends.
func (d *Directory) Follow(ctx context.Context, src Source) {
	go d.settle(ctx)
	backoff := backoffMin
	for ctx.Err() == nil {
		err := d.followOnce(ctx, src, func() { backoff = backoffMin })
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrHistoryLost) {
			d.log.Warn("source_history_lost")
			continue
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, backoffMax)
	}
}

// followOnce loads everything and watches from there until the source fails.
func (d *Directory) followOnce(ctx context.Context, src Source, ok func()) error {
	asked := time.Now()
	lctx, cancel := context.WithTimeout(ctx, readWait)
	s, err := src.Load(lctx)
	cancel()
	if err != nil {
		d.Away(asked, err)
		return err
	}
	d.Back()
	ok()
	d.Replace(s)
	return d.watch(ctx, src, s.Revision, ok)
}

// watch applies changes after a revision. A failed watch is asked once more
// at once, from the same revision: the source cuts waiting watches now and
// then, and reading everything again costs more.
func (d *Directory) watch(ctx context.Context, src Source, after Revision, ok func()) error {
	backoff := backoffMin
	for ctx.Err() == nil {
		asked := time.Now()
		wctx, cancel := context.WithTimeout(ctx, watchWait+readWait)
		changes, next, err := src.Watch(wctx, after, watchWait)
		cancel()
		if errors.Is(err, ErrHistoryLost) {
			return err
		}
		if err != nil {
			d.Away(silentSince(asked, err), err)
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, backoffMax)
			continue
		}
		backoff = backoffMin
		d.Back()
		ok()
		after = next
		d.Apply(changes)
	}
	return ctx.Err()
}

// silentSince returns when a source that failed a call was last known to
// answer: now for an error it or its connection gave, and the moment of
// asking for a call that heard nothing at all.
func silentSince(asked time.Time, err error) time.Time {
	if errors.Is(err, context.DeadlineExceeded) {
		return asked
	}
	return time.Now()
}

// settle drops doubtful instances in time.
func (d *Directory) settle(ctx context.Context) {
	t := time.NewTicker(settleEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.Settle()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
