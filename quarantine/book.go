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
	// mostRecords bounds the requests that are kept: the ends of forty
	// instances with a hundred requests in progress each, half a megabyte.
	mostRecords = 4096
	// dropOneOf is the part of them that is forgotten when there are more.
	dropOneOf = 4
	// sweepEvery is how often records past their time are looked for.
	sweepEvery = time.Second
)

type (
	// Config is what a Book is built from.
	Config struct {
		// Off lets all requests run; the ends are counted and told all the
		// same.
		Off bool
		Log log.Interface
	}

	// Book is what one node knows of the requests under which instances ended.
	// It is safe for concurrent use.
	Book struct {
		cfg   Config
		epoch uint64 // of this process

		mu      sync.Mutex
		records map[Fingerprint]*entry
		under   map[EndID][]Fingerprint // the requests that ran when an instance ended
		seq     uint64                  // of the latest change
		moved   chan struct{}           // closed at the next change
		urgent  chan struct{}           // closed when the next request is isolated or quarantined
		swept   time.Time
	}

	// News tells of changes of a Book beyond a Cursor.
	News struct {
		Any    <-chan struct{} // closed once there is one
		Urgent <-chan struct{} // closed once a request is isolated or quarantined
	}

	entry struct {
		Record
		last time.Time // when the last end was; Age is worked out from it
		seq  uint64    // of the entry's latest change
	}

	// Cursor says how much of a Book another node has been told.
	Cursor struct {
		_msgpack struct{} `msgpack:",as_array"`
		Epoch    uint64
		Seq      uint64
	}

	// Report is what a Book holds beyond a Cursor, and the Cursor to go on from.
	Report struct {
		_msgpack struct{} `msgpack:",as_array"`
		Next     Cursor
		Records  []Record
	}
)

// NewBook returns an empty Book.
func NewBook(cfg Config) *Book {
	return &Book{cfg: cfg, epoch: rand.Uint64(), records: map[Fingerprint]*entry{}, under: map[EndID][]Fingerprint{}, moved: make(chan struct{}), urgent: make(chan struct{})}
}

// Stage says how a request of a caller may run.
func (b *Book) Stage(f Fingerprint, c Caller) Stage {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil || b.cfg.Off {
		return Free
	}
	e.Age = time.Since(e.last)
	return e.stage(c, b)
}

// proves implements evidence. Another request that nobody knew may have begun
// beside it; when that has ended an instance alone elsewhere, the end here was
// its doing.
func (b *Book) proves(r *Record, end End) bool {
	for _, f := range b.under[end.ID] {
		if o := b.records[f]; f != r.Of && o != nil && o.provedWithout(r) {
			return false
		}
	}
	return true
}

// othersEnd implements evidence.
func (b *Book) othersEnd(r *Record) bool {
	n := 0
	for id, fs := range b.under {
		if r.has(id) || b.explained(fs) {
			continue
		}
		if n++; n >= endsOfOtherCause {
			return true
		}
	}
	return false
}

// explained reports whether one of the requests that ran when an instance ended
// is known to end them.
func (b *Book) explained(fs []Fingerprint) bool {
	return slices.ContainsFunc(fs, func(f Fingerprint) bool { return b.records[f].alone() })
}

// Left returns how long a quarantined request of a caller is to be kept from
// instances.
func (b *Book) Left(f Fingerprint, c Caller) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil {
		return 0
	}
	return max(0, e.term(c, b)-time.Since(e.last))
}

// Ended notes that an instance ended while it ran a request, and reports
// whether that is news.
func (b *Book) Ended(f Fingerprint, end End) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(Record{Of: f, Ends: []End{end}})
}

// Answered notes that a request of a caller has run to an answer: the ends of
// instances that it was seen at were not its doing. It reports whether that is
// news.
func (b *Book) Answered(f Fingerprint, c Caller) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.records[f]
	if e == nil {
		return false
	}
	return b.change(e, func() bool { return e.clear(c) })
}

// Learn takes over what another node's Book holds, and returns the requests of
// which that was news.
func (b *Book) Learn(r Report) []Fingerprint {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []Fingerprint
	for _, told := range r.Records {
		if b.take(told) {
			news = append(news, told.Of)
		}
	}
	return news
}

// Since returns what is known here beyond a Cursor, everything for one of
// another process.
func (b *Book) Since(at Cursor) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Next: Cursor{Epoch: b.epoch, Seq: b.seq}}
	after := b.known(at)
	if after == b.seq {
		return r
	}
	for _, e := range b.records {
		if e.seq > after {
			r.Records = append(r.Records, e.told())
		}
	}
	return r
}

// Of returns what is known here of some requests.
func (b *Book) Of(fs []Fingerprint) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := Report{Next: Cursor{Epoch: b.epoch, Seq: b.seq}}
	for _, f := range fs {
		if e := b.records[f]; e != nil {
			r.Records = append(r.Records, e.told())
		}
	}
	return r
}

// News returns what tells of changes beyond a Cursor.
func (b *Book) News(at Cursor) News {
	b.mu.Lock()
	defer b.mu.Unlock()
	news := News{Any: b.moved, Urgent: b.urgent}
	if b.known(at) == b.seq {
		return news
	}
	now := make(chan struct{})
	close(now)
	news.Any = now
	for _, e := range b.records {
		if e.seq > b.known(at) && e.worst(b) >= Isolated {
			news.Urgent = now
		}
	}
	return news
}

// Count returns how many requests are at a stage, for some caller.
func (b *Book) Count(s Stage) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.records {
		e.Age = time.Since(e.last)
		if e.worst(b) == s {
			n++
		}
	}
	return n
}

// known returns the change up to which a Cursor knows; 0 for one of another
// process.
func (b *Book) known(at Cursor) uint64 {
	if at.Epoch != b.epoch {
		return 0
	}
	return at.Seq
}

// told is the entry as another node is told of it.
func (e *entry) told() Record {
	r := e.Record
	r.Ends, r.Sound, r.Age = slices.Clone(e.Ends), slices.Clone(e.Sound), time.Since(e.last)
	return r
}

// take adds what is told of a request to what is known. Only news moves the
// time of the last end: two nodes that tell each other the same would else keep
// it for good.
func (b *Book) take(told Record) bool {
	if told.Age > forgetAfter {
		return false
	}
	b.sweep()
	e := b.records[told.Of]
	if e == nil {
		e = &entry{Record: Record{Of: told.Of}}
		b.makeRoom()
		b.records[told.Of] = e
	}
	return b.change(e, func() bool {
		news := false
		for _, end := range told.Ends {
			if e.add(end) {
				news = true
				e.last = later(e.last, time.Now().Add(-told.Age))
			}
		}
		for _, c := range told.Sound {
			news = e.sound(c) || news
		}
		return news
	})
}

// change changes an entry by f, and notes and logs what became of it where f
// reports news.
func (b *Book) change(e *entry, f func() bool) bool {
	was, had := e.worst(b), slices.Clone(e.Ends)
	if !f() {
		return false
	}
	b.relink(e, had)
	b.seq++
	e.seq = b.seq
	close(b.moved)
	b.moved = make(chan struct{})
	e.Age = time.Since(e.last)
	now := e.worst(b)
	if now > was && now >= Isolated {
		close(b.urgent)
		b.urgent = make(chan struct{})
	}
	if now != was && max(now, was) > Suspect {
		b.cfg.Log.WithFields(log.Fields{"fingerprint": e.Of.String(), "stage": now.String(), "ends": len(e.Ends)}).Info("request_stage_changed")
	}
	return true
}

// sweep forgets requests that have been left alone for long.
func (b *Book) sweep() {
	now := time.Now()
	if now.Sub(b.swept) < sweepEvery {
		return
	}
	b.swept = now
	for f, e := range b.records {
		if now.Sub(e.last) > forgetAfter {
			b.forget(f)
		}
	}
}

// makeRoom forgets a part of the requests if there are too many: those of the
// lowest stage whose last ends are longest ago.
func (b *Book) makeRoom() {
	if len(b.records) < mostRecords {
		return
	}
	all := slices.SortedFunc(maps.Values(b.records), func(x, y *entry) int {
		return cmp.Or(cmp.Compare(x.worst(b), y.worst(b)), x.last.Compare(y.last))
	})
	for _, e := range all[:mostRecords/dropOneOf] {
		b.forget(e.Of)
	}
}

// relink notes the ends of a record, in place of those that it had.
func (b *Book) relink(e *entry, had []End) {
	for _, end := range had {
		if !slices.ContainsFunc(e.Ends, func(o End) bool { return o.ID == end.ID }) {
			b.unlink(end.ID, e.Of)
		}
	}
	for _, end := range e.Ends {
		if !slices.Contains(b.under[end.ID], e.Of) {
			b.under[end.ID] = append(b.under[end.ID], e.Of)
		}
	}
}

func (b *Book) unlink(id EndID, f Fingerprint) {
	left := slices.DeleteFunc(b.under[id], func(o Fingerprint) bool { return o == f })
	if len(left) == 0 {
		delete(b.under, id)
		return
	}
	b.under[id] = left
}

// forget drops a record.
func (b *Book) forget(f Fingerprint) {
	for _, e := range b.records[f].Ends {
		b.unlink(e.ID, f)
	}
	delete(b.records, f)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// String names a Stage as log lines have it.
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
