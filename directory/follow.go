package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lookSpacing is how far apart, over all nodes, watches end without a
	// change and are asked again: a change that the source did not tell is
	// found within a few times that, for four calls a second at any size up to
	// sixty nodes and one a node in mostWatch beyond.
	lookSpacing = 250 * time.Millisecond
	// firstSpacing is the same for the first watches after a change. Of
	// fifteen nodes whose watches are spread so, none asks within a second and
	// a half once in ten million times; of a hundred, once in forty thousand.
	firstSpacing = 150 * time.Millisecond
	// leastWatch and mostWatch bound how long one watch waits: calls have their
	// price, and a source keeps its history for twenty seconds.
	leastWatch = time.Second
	// shortWatch is the shortest wait worth a call of its own: what comes
	// sooner is gathered already.
	shortWatch = 50 * time.Millisecond
	mostWatch  = 15 * time.Second
	// gatherLeast and gatherMost bound how long a node waits after a change
	// before it asks for the next: changes come in groups, each call has its
	// price, and a third of the two seconds in which a change must be in force
	// is there to spare. Each node draws its own time, so that a thousand do
	// not ask in the same moment.
	gatherLeast = 300 * time.Millisecond
	gatherMost  = 700 * time.Millisecond
	// tellTime is how long a source may take to tell a watch what it told
	// another node: a few milliseconds usually, a fifth of a second when slow.
	tellTime = 300 * time.Millisecond
	// readWait bounds a read that is answered at once: thousands of times
	// its usual milliseconds, and under what a slow source takes (some
	// hundred milliseconds).
	readWait = 2 * time.Second
	// settleEvery is how often unlisted instances are looked at: a vouch must
	// not outlast its term by much.
	settleEvery = 100 * time.Millisecond
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
	// Listed reports whether an instance has an entry now.
	Listed(ctx context.Context, id InstanceID) (bool, error)
}

// Reader reads a source for a Directory, one call after the other.
type Reader struct {
	d       *Directory
	src     Source
	readers func() int
	whole   bool          // everything is to be read again
	wait    time.Duration // of the next watch; 0 for the first
}

// NewReader returns a Reader of a source. readers tells how many nodes read it
// now; nil where all do.
func (d *Directory) NewReader(src Source, readers func() int) *Reader {
	if readers == nil {
		readers = func() int { return len(d.View().All()) }
	}
	return &Reader{d: d, src: src, readers: readers}
}

// Follow keeps d up to date with a source until ctx ends.
func (d *Directory) Follow(ctx context.Context, src Source) {
	go d.SettleUntil(ctx)
	var b Backoff
	r := d.NewReader(src, nil)
	for ctx.Err() == nil {
		if err := r.Step(ctx); err != nil {
			b.Wait(ctx)
		} else {
			b.Reset()
		}
	}
}

// Step makes one call, takes over what it tells, and waits for as long as the
// next is to be put off. The error is the source's.
func (r *Reader) Step(ctx context.Context) error {
	if r.whole || !r.d.Listed() {
		return r.load(ctx)
	}
	return r.watch(ctx)
}

func (r *Reader) load(ctx context.Context) error {
	asked := time.Now()
	lctx, cancel := context.WithTimeout(ctx, readWait)
	defer cancel()
	s, err := r.src.Load(lctx)
	if err != nil {
		r.d.Away(asked, err)
		return err
	}
	r.d.Back()
	r.d.Replace(s)
	r.whole, r.wait = false, 0
	return nil
}

// watch applies the changes after what is known. A failed watch is asked again
// from the same revision: the source cuts waiting watches now and then, and
// reading everything again costs more.
func (r *Reader) watch(ctx context.Context) error {
	wait := r.wait
	if wait == 0 {
		wait = r.firstLook()
	}
	r.wait = r.nextLook()
	after := r.d.caughtUp()
	asked := time.Now()
	wctx, cancel := context.WithTimeout(ctx, wait+readWait)
	defer cancel()
	stop := r.d.interrupt(wctx, cancel)
	changes, next, err := r.src.Watch(wctx, after, wait)
	jumped := stop()
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, ErrHistoryLost):
		r.d.log.Warn("source_history_lost")
		r.whole = true
		return nil
	case err != nil && jumped:
		r.wait = 0
		return nil
	case err != nil:
		r.d.Away(silentSince(asked, err), err)
		return err
	}
	r.d.Back()
	r.d.Apply(changes, next)
	if len(changes) > 0 {
		Pause(ctx, gatherLeast+rand.N(gatherMost-gatherLeast))
		r.wait = 0
	}
	return nil
}

// lookEvery is how long watches wait so that over all nodes one ends in each
// spacing. A source may lose what a waiting watch should have told, and only
// a new call shows it; with each node asking anew at another time, some node
// sees it soon and the others learn it from that one.
func (r *Reader) lookEvery(spacing time.Duration) time.Duration {
	return min(max(time.Duration(r.readers())*spacing, leastWatch), mostWatch)
}

// firstLook is how long the watch after a change waits at most. The change
// ends all nodes' watches in the same moment. Were they all to wait their
// whole time again, no node would ask for three quarters of it, four seconds
// at twenty nodes and eleven at sixty, and a second change that the source
// keeps to itself would be seen by nobody.
func (r *Reader) firstLook() time.Duration {
	if !r.d.cfg.Spread {
		return r.nextLook()
	}
	return max(rand.N(r.lookEvery(firstSpacing)), shortWatch)
}

// nextLook is how long a watch waits that follows one without a change; its
// spread keeps nodes that once asked together from doing so for long.
func (r *Reader) nextLook() time.Duration {
	wait := r.lookEvery(lookSpacing)
	return wait*3/4 + rand.N(wait/2)
}

// caughtUp returns the revision to go on from, and forgets that another node
// may have told it: a watch from there need not be interrupted.
func (d *Directory) caughtUp() Revision {
	select {
	case <-d.jumped:
	default:
	}
	return d.Revision()
}

// interrupt ends a watch with cancel when the revision moves on by another
// way and the watch does not tell the same soon; the function returned ends that and reports whether it happened.
func (d *Directory) interrupt(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	done := make(chan struct{})
	jumped := make(chan bool, 1)
	go func() {
		select {
		case <-d.jumped:
			select {
			case <-time.After(tellTime):
				cancel()
				jumped <- true
			case <-done:
				jumped <- false
			}
		case <-done:
			jumped <- false
		case <-ctx.Done():
			jumped <- false
		}
	}()
	return func() bool {
		close(done)
		return <-jumped
	}
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

// SettleUntil drops unlisted instances in time, until ctx ends.
func (d *Directory) SettleUntil(ctx context.Context) {
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
