package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/timeline"
	"github.com/rotisserie/eris"
)

const (
	// watchSpacing is the mean interval, over all nodes, between watches that end
	// without a change. A change for which the source did not notify its watches
	// is found within a few intervals. Up to 60 nodes that makes four calls per
	// second; with more, maxWatch increases the rate.
	watchSpacing = 250 * time.Millisecond
	// firstWatchSpacing is the same for the first watch after a change. The gap
	// between two nodes' watches has to stay below 1.5 s with high probability.
	// With 15 nodes it is longer once in ten million times, with 100 once in forty
	// thousand.
	firstWatchSpacing = 150 * time.Millisecond
	// minWatch and maxWatch bound the duration of one watch: each call costs
	// money, and a source keeps its history for 20 s.
	minWatch = time.Second
	// minFirstWatch is the minimum duration of a first watch. Changes that come
	// sooner are already covered by the batch delay.
	minFirstWatch = 50 * time.Millisecond
	maxWatch      = 15 * time.Second
	// minBatchDelay and maxBatchDelay bound the pause after a change, in which
	// further changes accumulate to be read in one call. The pause is random so
	// that the nodes do not call together, and short enough for a change to be
	// active within 2 s.
	minBatchDelay = 300 * time.Millisecond
	maxBatchDelay = 700 * time.Millisecond
	// watchLag is how long a watch may take to return a change that is already
	// known from a peer, before it is cancelled. It usually takes a few
	// milliseconds, and a fifth of a second at a slow source.
	watchLag = 300 * time.Millisecond
	// readTimeout bounds a load, and how long a watch may take beyond its wait.
	// It exceeds the response time of a slow source (a few hundred
	// milliseconds).
	readTimeout = 2 * time.Second
	// expiryInterval is how often unlisted instances are checked for the end of
	// their grace period or confirmation. A confirmation must not outlast its time
	// by much.
	expiryInterval = 100 * time.Millisecond
)

var (
	// ErrHistoryLost is returned by Source.Watch if the source does not have
	// the changes after the given revision.
	ErrHistoryLost = eris.New("the source does not have the changes after this revision")
	// ErrEarlierEra is wrapped by errors about a response from an earlier era
	// of the source than the state held.
	ErrEarlierEra = eris.New("response from an earlier era of the source")
)

// Source publishes routes and instances. Its methods are called concurrently.
type Source interface {
	// Load reads everything that is published, in one era of the source.
	Load(ctx context.Context) (Snapshot, error)
	// Watch waits up to wait for changes after a revision. It returns them with
	// the revision to continue from, or ErrHistoryLost if the source does not
	// have them. If the source has been restored since, it may take the counter
	// of the revision for one that it assigned again: the changes are then those
	// of the later era, and incomplete.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Listed reports whether an instance has an entry now, and the era of the
	// source.
	Listed(ctx context.Context, id InstanceID) (bool, Era, error)
}

// Reader reads a source into a Directory, one call at a time. Except for
// Counts, it is not safe for concurrent use.
type Reader struct {
	d           *Directory
	src         Source
	log         *timeline.LimitedLogger // rate-limited: a source may reject every watch
	readerCount func() int
	reload      bool          // the next call is a load
	loaded      bool          // the latest call that succeeded was a load
	loadBackoff Backoff       // between loads that do not lead to a successful watch
	nextWait    time.Duration // duration of the next watch; 0 for the first one after a load or change

	loads, historyLosses atomic.Int64
}

// ReaderCounts holds how often a Reader loaded its source and how often the
// source no longer had the changes that it watched for.
type ReaderCounts struct {
	Loads, HistoryLosses int64
}

// NewReader returns a Reader of a source. readerCount returns the number of
// nodes that currently read it; nil means that all do.
func (d *Directory) NewReader(src Source, readerCount func() int) *Reader {
	if readerCount == nil {
		readerCount = func() int { return len(d.View().All()) }
	}
	return &Reader{d: d, src: src, log: timeline.NewLimitedLogger(d.log, timeline.DefaultLinesPerSecond), readerCount: readerCount}
}

// Counts returns the counts since the start. It is safe for concurrent use.
func (r *Reader) Counts() ReaderCounts {
	return ReaderCounts{Loads: r.loads.Load(), HistoryLosses: r.historyLosses.Load()}
}

// Follow keeps d up to date with a source until ctx ends.
func (d *Directory) Follow(ctx context.Context, src Source) {
	go d.RunExpiry(ctx)
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

// Step makes one call to the source, applies the result and, after a change,
// pauses for the batch delay. It returns the error of the source or of ctx.
func (r *Reader) Step(ctx context.Context) error {
	if r.reload || !r.d.HasSnapshot() {
		return r.load(ctx)
	}
	return r.watch(ctx)
}

func (r *Reader) load(ctx context.Context) error {
	started := time.Now()
	lctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	s, err := r.src.Load(lctx)
	if err == nil && s.Revision.Era() < r.d.Revision().Era() {
		err = eris.Wrapf(ErrEarlierEra, "loaded %v, held %v", s.Revision, r.d.Revision())
	}
	if err != nil {
		r.d.SourceFailed(started, err)
		return err
	}
	r.d.SourceAnswered()
	r.loads.Add(1)
	r.log.Log("source_loaded", func() log.Fields {
		return log.Fields{"revision": s.Revision, "held": r.d.Revision(), "instances": len(s.Instances)}
	})
	r.d.Replace(s)
	r.reload, r.loaded, r.nextWait = false, true, 0
	return nil
}

// watch applies the changes after the known revision. A failed watch is
// repeated from the same revision, because a load costs more.
func (r *Reader) watch(ctx context.Context) error {
	wait := r.nextWait
	if wait == 0 {
		wait = r.firstWatchWait()
	}
	r.nextWait = r.nextWatchWait()
	after := r.d.resumeRevision()
	started := time.Now()
	wctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	stop := r.d.interruptWatch(wctx, cancel)
	changes, next, err := r.src.Watch(wctx, after, wait)
	interrupted := stop()
	if err == nil {
		err = checkEra(after, next)
	}
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case errors.Is(err, ErrHistoryLost):
		r.historyLosses.Add(1)
		r.log.Log("source_history_lost", func() log.Fields { return log.Fields{"after": after} })
		r.reload = true
		if r.loaded {
			// A load does not help against this source; without a pause, each
			// rejected watch would cost it another one.
			r.loadBackoff.Wait(ctx)
		}
		return nil
	case err != nil && interrupted:
		r.nextWait = 0
		return nil
	case err != nil:
		r.d.SourceFailed(lastAnswer(started, err), err)
		return err
	}
	r.d.SourceAnswered()
	r.loaded = false
	r.loadBackoff.Reset()
	r.d.Apply(changes, next)
	if len(changes) > 0 {
		Pause(ctx, minBatchDelay+rand.N(maxBatchDelay-minBatchDelay))
		r.nextWait = 0
	}
	return nil
}

// checkEra returns an error unless the response to a watch, with the revision
// to continue from, belongs to the era in which the watch began. Its changes
// after a restore are incomplete, because the source has assigned the counters
// up to that of after again.
func checkEra(after, next Revision) error {
	switch {
	case next.Era() > after.Era():
		return eris.Wrapf(ErrHistoryLost, "source restored: watched from %v, now at %v", after, next)
	case next.Era() < after.Era():
		return eris.Wrapf(ErrEarlierEra, "watched from %v, now at %v", after, next)
	}
	return nil
}

// watchInterval returns the watch duration at which, over all nodes, one watch
// ends per spacing. A source may fail to notify a waiting watch, which only a
// new call reveals; with the calls spread over time, some node finds the change
// soon and the others learn it from there.
func (r *Reader) watchInterval(spacing time.Duration) time.Duration {
	return min(max(time.Duration(r.readerCount())*spacing, minWatch), maxWatch)
}

// firstWatchWait returns a random duration for the watch after a change. The
// change ends the watches of all nodes together; with equal durations no node
// would call again for most of one, and a second change without a notification
// would go unnoticed for that long.
func (r *Reader) firstWatchWait() time.Duration {
	if !r.d.cfg.SpreadWatches {
		return r.nextWatchWait()
	}
	return max(rand.N(r.watchInterval(firstWatchSpacing)), minFirstWatch)
}

// nextWatchWait returns the duration of a watch that follows one without a
// change. The jitter of a quarter either way keeps the nodes from calling
// together.
func (r *Reader) nextWatchWait() time.Duration {
	wait := r.watchInterval(watchSpacing)
	return wait*3/4 + rand.N(wait/2)
}

// resumeRevision returns the revision to watch from and clears the signal of
// ApplyDelta, which concerns earlier watches. Nodes of the former version may have
// told of a revision without the routes that it covers; these are watched for.
func (d *Directory) resumeRevision() Revision {
	select {
	case <-d.deltaApplied:
	default:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return min(d.revision, d.routesUpTo)
}

// interruptWatch cancels a watch if ApplyDelta advances the revision and the
// watch does not end within watchLag. The returned function stops this and
// reports whether the watch was cancelled.
func (d *Directory) interruptWatch(ctx context.Context, cancel context.CancelFunc) (stop func() bool) {
	done := make(chan struct{})
	interrupted := make(chan bool, 1)
	go func() {
		select {
		case <-d.deltaApplied:
			select {
			case <-time.After(watchLag):
				cancel()
				interrupted <- true
			case <-done:
				interrupted <- false
			}
		case <-done:
			interrupted <- false
		case <-ctx.Done():
			interrupted <- false
		}
	}()
	return func() bool {
		close(done)
		return <-interrupted
	}
}

// lastAnswer returns when a source whose call failed was last known to respond:
// now if it or the connection returned an error, the start of the call if it
// timed out.
func lastAnswer(started time.Time, err error) time.Time {
	if errors.Is(err, context.DeadlineExceeded) {
		return started
	}
	return time.Now()
}

// RunExpiry calls ExpireUnlisted periodically until ctx ends.
func (d *Directory) RunExpiry(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			d.ExpireUnlisted()
		}
	}
}
