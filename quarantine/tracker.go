package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxRecords bounds the number of requests in a Tracker: those of
	// forty exited instances with a hundred requests in progress each,
	// about half a megabyte.
	maxRecords = 4096
	// When a Tracker is full, 1/evictDivisor of its records are evicted.
	evictDivisor = 4
	// sweepInterval is the minimum interval between removals of expired
	// records.
	sweepInterval = time.Second
)

type (
	// Config is the configuration of a Tracker.
	Config struct {
		// Disabled lets all requests run. Instance exits are still
		// recorded and reported.
		Disabled bool
		Log      log.Interface
	}

	// Tracker is one node's record of the requests that instances ran when
	// they exited. It is safe for concurrent use.
	Tracker struct {
		cfg   Config
		epoch uint64 // identifies this process; random

		mu        sync.Mutex
		records   map[Fingerprint]*entry
		byExit    map[ExitID][]Fingerprint // requests that ran when an instance exited
		seq       uint64                   // of the latest change
		changed   chan struct{}            // closed at the next change
		escalated chan struct{}            // closed when the next request becomes isolated or quarantined
		sweptAt   time.Time
	}

	// Watch notifies of changes to a Tracker after a Cursor.
	Watch struct {
		Changed   <-chan struct{} // closed once there is a change
		Escalated <-chan struct{} // closed once a request becomes isolated or quarantined
	}

	entry struct {
		Record
		lastExit time.Time // time of the last instance exit; Age is derived from it
		seq      uint64    // sequence number of the entry's latest change
	}

	// Cursor is the position in a Tracker's changes up to which another
	// node knows them.
	Cursor struct {
		_msgpack struct{} `msgpack:",as_array"`
		Epoch    uint64
		Seq      uint64
	}

	// Report contains the records that changed after a Cursor and the next
	// Cursor.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"`
		Next     Cursor
		Records  []Record
	}
)

// NewTracker returns an empty Tracker.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, epoch: rand.Uint64(), records: map[Fingerprint]*entry{}, byExit: map[ExitID][]Fingerprint{}, changed: make(chan struct{}), escalated: make(chan struct{})}
}

// Stage returns how a caller's request may run.
func (t *Tracker) Stage(f Fingerprint, c Caller) Stage {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil || t.cfg.Disabled {
		return Free
	}
	e.Age = time.Since(e.lastExit)
	return e.stage(c, t)
}

// conclusive implements evidence. A request not yet known to be harmful may
// have run concurrently with the isolated one. If it has since crashed another
// instance while isolated, this exit is attributed to it.
func (t *Tracker) conclusive(r *Record, exit Exit) bool {
	for _, f := range t.byExit[exit.ID] {
		if o := t.records[f]; f != r.Fingerprint && o != nil && o.hasIsolatedExitWithout(r) {
			return false
		}
	}
	return true
}

// hasUnrelatedExits implements evidence.
func (t *Tracker) hasUnrelatedExits(r *Record) bool {
	n := 0
	for id, fs := range t.byExit {
		if r.hasExit(id) || t.attributed(fs) {
			continue
		}
		if n++; n >= minUnrelatedExits {
			return true
		}
	}
	return false
}

// attributed reports whether any of the requests has crashed an instance while
// it ran isolated.
func (t *Tracker) attributed(fs []Fingerprint) bool {
	return slices.ContainsFunc(fs, func(f Fingerprint) bool { return t.records[f].hasIsolatedExit() })
}

// Remaining returns the time for which a caller's quarantined request must
// still not run.
func (t *Tracker) Remaining(f Fingerprint, c Caller) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return 0
	}
	return max(0, e.quarantineTerm(c, t)-time.Since(e.lastExit))
}

// RecordExit records that an instance exited while it ran a request, and reports
// whether the Tracker changed.
func (t *Tracker) RecordExit(f Fingerprint, exit Exit) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.merge(Record{Fingerprint: f, Exits: []Exit{exit}})
}

// RecordAnswer records that a caller's request was answered, which clears it
// of the exits recorded for that caller. It reports whether the Tracker
// changed.
func (t *Tracker) RecordAnswer(f Fingerprint, c Caller) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.records[f]
	if e == nil {
		return false
	}
	return t.update(e, func() bool { return e.clear(c) })
}

// Merge merges another node's report and returns the requests whose records
// changed.
func (t *Tracker) Merge(r Report) []Fingerprint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changed []Fingerprint
	for _, record := range r.Records {
		if t.merge(record) {
			changed = append(changed, record.Fingerprint)
		}
	}
	return changed
}

// ChangesSince returns the records that changed after a Cursor, or all records
// if the Cursor is from another process.
func (t *Tracker) ChangesSince(c Cursor) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Next: Cursor{Epoch: t.epoch, Seq: t.seq}}
	acked := t.ackedSeq(c)
	if acked == t.seq {
		return r
	}
	for _, e := range t.records {
		if e.seq > acked {
			r.Records = append(r.Records, e.snapshot())
		}
	}
	return r
}

// Records returns the records of the given requests.
func (t *Tracker) Records(fs []Fingerprint) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{Next: Cursor{Epoch: t.epoch, Seq: t.seq}}
	for _, f := range fs {
		if e := t.records[f]; e != nil {
			r.Records = append(r.Records, e.snapshot())
		}
	}
	return r
}

// Watch returns the notifications of changes after a Cursor.
func (t *Tracker) Watch(c Cursor) Watch {
	t.mu.Lock()
	defer t.mu.Unlock()
	watch := Watch{Changed: t.changed, Escalated: t.escalated}
	if t.ackedSeq(c) == t.seq {
		return watch
	}
	closed := make(chan struct{})
	close(closed)
	watch.Changed = closed
	for _, e := range t.records {
		if e.seq > t.ackedSeq(c) && e.worstStage(t) >= Isolated {
			watch.Escalated = closed
		}
	}
	return watch
}

// Count returns the number of requests at a stage for any caller.
func (t *Tracker) Count(s Stage) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.records {
		e.Age = time.Since(e.lastExit)
		if e.worstStage(t) == s {
			n++
		}
	}
	return n
}

// ackedSeq returns the sequence number up to which the Cursor's holder knows
// the changes, or 0 if the Cursor is from another process.
func (t *Tracker) ackedSeq(c Cursor) uint64 {
	if c.Epoch != t.epoch {
		return 0
	}
	return c.Seq
}

// snapshot returns a copy of the record with its current age.
func (e *entry) snapshot() Record {
	r := e.Record
	r.Exits, r.AnsweredFor, r.Age = slices.Clone(e.Exits), slices.Clone(e.AnsweredFor), time.Since(e.lastExit)
	return r
}

// merge merges a received record. Only new exits update lastExit: otherwise two
// nodes that repeat the same record to each other would keep it forever.
func (t *Tracker) merge(remote Record) bool {
	if remote.Age > recordTTL {
		return false
	}
	t.sweep()
	e := t.records[remote.Fingerprint]
	if e == nil {
		e = &entry{Record: Record{Fingerprint: remote.Fingerprint}}
		t.evict()
		t.records[remote.Fingerprint] = e
	}
	return t.update(e, func() bool {
		changed := false
		for _, exit := range remote.Exits {
			if e.addExit(exit) {
				changed = true
				e.lastExit = latest(e.lastExit, time.Now().Add(-remote.Age))
			}
		}
		for _, c := range remote.AnsweredFor {
			changed = e.addAnswered(c) || changed
		}
		return changed
	})
}

// update applies f to an entry. If f reports a change, update also updates the
// index, notifies watchers and logs a change of stage.
func (t *Tracker) update(e *entry, f func() bool) bool {
	oldStage, oldExits := e.worstStage(t), slices.Clone(e.Exits)
	if !f() {
		return false
	}
	t.updateIndex(e, oldExits)
	t.seq++
	e.seq = t.seq
	close(t.changed)
	t.changed = make(chan struct{})
	e.Age = time.Since(e.lastExit)
	newStage := e.worstStage(t)
	if newStage > oldStage && newStage >= Isolated {
		close(t.escalated)
		t.escalated = make(chan struct{})
	}
	if newStage != oldStage && max(newStage, oldStage) > Suspect {
		t.cfg.Log.WithFields(log.Fields{"fingerprint": e.Fingerprint.String(), "stage": newStage.String(), "ends": len(e.Exits)}).Info("request_stage_changed")
	}
	return true
}

// sweep removes records whose last exit is older than recordTTL.
func (t *Tracker) sweep() {
	now := time.Now()
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for f, e := range t.records {
		if now.Sub(e.lastExit) > recordTTL {
			t.remove(f)
		}
	}
}

// evict removes part of the records if the Tracker is full: those at the
// lowest stage with the oldest exits.
func (t *Tracker) evict() {
	if len(t.records) < maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(t.records), func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.worstStage(t), y.worstStage(t)), x.lastExit.Compare(y.lastExit))
	})
	for _, e := range all[:maxRecords/evictDivisor] {
		t.remove(e.Fingerprint)
	}
}

// updateIndex replaces oldExits by the entry's current exits in byExit.
func (t *Tracker) updateIndex(e *entry, oldExits []Exit) {
	for _, exit := range oldExits {
		if !slices.ContainsFunc(e.Exits, func(o Exit) bool { return o.ID == exit.ID }) {
			t.removeFromIndex(exit.ID, e.Fingerprint)
		}
	}
	for _, exit := range e.Exits {
		if !slices.Contains(t.byExit[exit.ID], e.Fingerprint) {
			t.byExit[exit.ID] = append(t.byExit[exit.ID], e.Fingerprint)
		}
	}
}

func (t *Tracker) removeFromIndex(id ExitID, f Fingerprint) {
	remaining := slices.DeleteFunc(t.byExit[id], func(o Fingerprint) bool { return o == f })
	if len(remaining) == 0 {
		delete(t.byExit, id)
		return
	}
	t.byExit[id] = remaining
}

func (t *Tracker) remove(f Fingerprint) {
	for _, e := range t.records[f].Exits {
		t.removeFromIndex(e.ID, f)
	}
	delete(t.records, f)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String returns the name of the stage as used in logs.
func (s Stage) String() string {
	switch s {
	case Suspect:
		return "suspect"
	case Isolated:
		return "isolated"
	case Quarantined:
		return "quarantined"
	}
	return "free"
}
