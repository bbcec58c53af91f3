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
	// maxRecords bounds the number of requests in a Book: those of forty ended
	// instances with a hundred requests in progress each, about half a
	// megabyte.
	maxRecords = 4096
	// When a Book is full, 1/evictDivisor of its records are evicted.
	evictDivisor = 4
	// sweepInterval is the minimum interval between removals of expired
	// records.
	sweepInterval = time.Second
)

type (
	// Config is the configuration of a Book.
	Config struct {
		// Off lets all requests run. Instance ends are still recorded and
		// reported.
		Off bool
		Log log.Interface
	}

	// Book is one node's record of the requests that instances ran when they
	// ended. It is safe for concurrent use.
	Book struct {
		cfg   Config
		epoch uint64 // identifies this process; random

		mu        sync.Mutex
		records   map[Fingerprint]*entry
		byEnd     map[EndID][]Fingerprint // requests that ran when an instance ended
		seq       uint64                  // of the latest change
		changed   chan struct{}           // closed at the next change
		escalated chan struct{}           // closed when the next request becomes isolated or quarantined
		sweptAt   time.Time
	}

	// News notifies of changes to a Book after a Cursor.
	News struct {
		Any    <-chan struct{} // closed once there is a change
		Urgent <-chan struct{} // closed once a request becomes isolated or quarantined
	}

	entry struct {
		Record
		lastEnd time.Time // time of the last instance end; Age is derived from it
		seq     uint64    // sequence number of the entry's latest change
	}

	// Cursor is the position in a Book's changes up to which another node knows
	// them.
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

// NewBook returns an empty Book.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, epoch: rand.Uint64(), records: map[Fingerprint]*entry{}, byEnd: map[EndID][]Fingerprint{}, changed: make(chan struct{}), escalated: make(chan struct{})}
}

// Stage returns how a caller's request may run.
func (b *Book) Stage(f Fingerprint, c Caller) Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil || b.cfg.Off {
		return Free
	}
	e.Age = time.Since(e.lastEnd)
	return e.stage(c, b)
}

// conclusive implements evidence. An unknown request may have run beside the
// isolated one. If it has since ended another instance while isolated, this end
// is attributed to it.
func (b *Book) conclusive(r *Record, end End) bool {
	for _, f := range b.byEnd[end.ID] {
		if o := b.records[f]; f != r.Of && o != nil && o.endedIsolatedWithout(r) {
			return false
		}
	}
	return true
}

// hasUnrelatedEnds implements evidence.
func (b *Book) hasUnrelatedEnds(r *Record) bool {
	n := 0
	for id, fs := range b.byEnd {
		if r.hasEnd(id) || b.attributed(fs) {
			continue
		}
		if n++; n >= minUnrelatedEnds {
			return true
		}
	}
	return false
}

// attributed reports whether any of the requests has ended an instance while it
// ran isolated.
func (b *Book) attributed(fs []Fingerprint) bool {
	return slices.ContainsFunc(fs, func(f Fingerprint) bool { return b.records[f].endedIsolated() })
}

// Left returns the time for which a caller's quarantined request must still not
// run.
func (b *Book) Left(f Fingerprint, c Caller) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil {
		return 0
	}
	return max(0, e.quarantineTerm(c, b)-time.Since(e.lastEnd))
}

// Ended records that an instance ended while it ran a request, and reports
// whether the Book changed.
func (b *Book) Ended(f Fingerprint, end End) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.merge(Record{Of: f, Ends: []End{end}})
}

// Answered records that a caller's request was answered, which clears it of the
// ends recorded for that caller. It reports whether the Book changed.
func (b *Book) Answered(f Fingerprint, c Caller) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil {
		return false
	}
	return b.update(e, func() bool { return e.clear(c) })
}

// Learn merges another node's report and returns the requests whose records
// changed.
func (b *Book) Learn(r Report) []Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var changed []Fingerprint
	for _, record := range r.Records {
		if b.merge(record) {
			changed = append(changed, record.Of)
		}
	}
	return changed
}

// Since returns the records that changed after a Cursor, or all records if the
// Cursor is from another process.
func (b *Book) Since(c Cursor) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Next: Cursor{Epoch: b.epoch, Seq: b.seq}}
	acked := b.ackedSeq(c)
	if acked == b.seq {
		return r
	}
	for _, e := range b.records {
		if e.seq > acked {
			r.Records = append(r.Records, e.snapshot())
		}
	}
	return r
}

// Of returns the records of the given requests.
func (b *Book) Of(fs []Fingerprint) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Next: Cursor{Epoch: b.epoch, Seq: b.seq}}
	for _, f := range fs {
		if e := b.records[f]; e != nil {
			r.Records = append(r.Records, e.snapshot())
		}
	}
	return r
}

// News returns the notifications of changes after a Cursor.
func (b *Book) News(c Cursor) News {
	b.mu.Lock()
	defer b.mu.Unlock()
	watch := News{Any: b.changed, Urgent: b.escalated}
	if b.ackedSeq(c) == b.seq {
		return watch
	}
	closed := make(chan struct{})
	close(closed)
	watch.Any = closed
	for _, e := range b.records {
		if e.seq > b.ackedSeq(c) && e.worstStage(b) >= Isolated {
			watch.Urgent = closed
		}
	}
	return watch
}

// Count returns the number of requests at a stage for any caller.
func (b *Book) Count(s Stage) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.records {
		e.Age = time.Since(e.lastEnd)
		if e.worstStage(b) == s {
			n++
		}
	}
	return n
}

// ackedSeq returns the sequence number up to which the Cursor's holder knows
// the changes, or 0 if the Cursor is from another process.
func (b *Book) ackedSeq(c Cursor) uint64 {
	if c.Epoch != b.epoch {
		return 0
	}
	return c.Seq
}

// snapshot returns a copy of the record with its current age.
func (e *entry) snapshot() Record {
	r := e.Record
	r.Ends, r.Sound, r.Age = slices.Clone(e.Ends), slices.Clone(e.Sound), time.Since(e.lastEnd)
	return r
}

// merge merges a received record. Only new ends update lastEnd: otherwise two
// nodes that repeat the same record to each other would keep it forever.
func (b *Book) merge(remote Record) bool {
	if remote.Age > recordTTL {
		return false
	}
	b.sweep()
	e := b.records[remote.Of]
	if e == nil {
		e = &entry{Record: Record{Of: remote.Of}}
		b.evict()
		b.records[remote.Of] = e
	}
	return b.update(e, func() bool {
		changed := false
		for _, end := range remote.Ends {
			if e.addEnd(end) {
				changed = true
				e.lastEnd = latest(e.lastEnd, time.Now().Add(-remote.Age))
			}
		}
		for _, c := range remote.Sound {
			changed = e.addAnswered(c) || changed
		}
		return changed
	})
}

// update applies f to an entry. If f reports a change, update also updates the
// index, notifies watchers and logs a change of stage.
func (b *Book) update(e *entry, f func() bool) bool {
	oldStage, oldEnds := e.worstStage(b), slices.Clone(e.Ends)
	if !f() {
		return false
	}
	b.updateIndex(e, oldEnds)
	b.seq++
	e.seq = b.seq
	close(b.changed)
	b.changed = make(chan struct{})
	e.Age = time.Since(e.lastEnd)
	newStage := e.worstStage(b)
	if newStage > oldStage && newStage >= Isolated {
		close(b.escalated)
		b.escalated = make(chan struct{})
	}
	if newStage != oldStage && max(newStage, oldStage) > Suspect {
		b.cfg.Log.WithFields(log.Fields{"fingerprint": e.Of.String(), "stage": newStage.String(), "ends": len(e.Ends)}).Info("request_stage_changed")
	}
	return true
}

// sweep removes records whose last end is older than recordTTL.
func (b *Book) sweep() {
	now := time.Now()
	if now.Sub(b.sweptAt) < sweepInterval {
		return
	}
	b.sweptAt = now
	for f, e := range b.records {
		if now.Sub(e.lastEnd) > recordTTL {
			b.remove(f)
		}
	}
}

// evict removes part of the records if the Book is full: those at the lowest
// stage with the oldest ends.
func (b *Book) evict() {
	if len(b.records) < maxRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(b.records), func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.worstStage(b), y.worstStage(b)), x.lastEnd.Compare(y.lastEnd))
	})
	for _, e := range all[:maxRecords/evictDivisor] {
		b.remove(e.Of)
	}
}

// updateIndex replaces oldEnds by the entry's current ends in byEnd.
func (b *Book) updateIndex(e *entry, oldEnds []End) {
	for _, end := range oldEnds {
		if !slices.ContainsFunc(e.Ends, func(o End) bool { return o.ID == end.ID }) {
			b.removeFromIndex(end.ID, e.Of)
		}
	}
	for _, end := range e.Ends {
		if !slices.Contains(b.byEnd[end.ID], e.Of) {
			b.byEnd[end.ID] = append(b.byEnd[end.ID], e.Of)
		}
	}
}

func (b *Book) removeFromIndex(id EndID, f Fingerprint) {
	remaining := slices.DeleteFunc(b.byEnd[id], func(o Fingerprint) bool { return o == f })
	if len(remaining) == 0 {
		delete(b.byEnd, id)
		return
	}
	b.byEnd[id] = remaining
}

func (b *Book) remove(f Fingerprint) {
	for _, e := range b.records[f].Ends {
		b.removeFromIndex(e.ID, f)
	}
	delete(b.records, f)
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
