package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// minOutage is the shortest outage of the source after which missing
	// entries are kept as unconfirmed: the source may have expired instances
	// whose reports did not reach it.
	minOutage = 1500 * time.Millisecond
	// outageGrace is how long such entries are kept once the source is back. Live
	// instances are listed again within about two seconds. The rest is for the
	// change to reach this node.
	outageGrace = 2500 * time.Millisecond
	// unlistedGrace is how long an instance that was not leaving is kept as
	// unconfirmed after its entry was removed. Meanwhile its node is asked to
	// confirm it, which takes up to a quarter of a second.
	unlistedGrace = 600 * time.Millisecond
)

type (
	// Change is one change of what a source lists. Exactly one of Instance,
	// Removed, Routes and Invalid is set.
	Change struct {
		Instance  *Instance
		Removed   InstanceID
		RemovedAt Revision // revision of the removal, with Removed
		Routes    *Routes
		// Invalid is the instance whose entry is invalid or cannot be decoded.
		// What is known under its ID stays in use.
		Invalid InstanceID
	}

	// Snapshot is everything that a source listed at a revision.
	Snapshot struct {
		Revision  Revision
		Routes    *Routes
		Instances []Instance
		Invalid   []InstanceID // instances with invalid entries, as in Change
	}

	// routesOrigin says from where a version of the routes was learnt.
	routesOrigin struct {
		peer     string        // node that told of it; empty for the source
		revision Revision      // of the answer
		age      time.Duration // upper bound for the age of the peer's state
	}

	// Config configures a Directory. With the zero value, removed entries are
	// dropped at once and the first watch after a change is not spread; Log is
	// required.
	Config struct {
		// UnlistedGrace is how long an unlisted entry is kept as unconfirmed
		// while the node of the instance is asked to confirm it; 0 drops it at
		// once.
		UnlistedGrace time.Duration
		// OutageGrace is how long an entry that is missing after an outage of
		// the source is kept as unconfirmed; 0 drops it at once.
		OutageGrace time.Duration
		// SpreadWatches draws the duration of the first watch after a change at
		// random, so that the watches of all nodes do not end together.
		SpreadWatches bool
		Log           log.Interface
	}

	// Directory holds the latest known state of one deployment. It is safe for
	// concurrent use.
	Directory struct {
		cfg  Config
		log  log.Interface
		view atomic.Pointer[View]

		mu             sync.Mutex // guards the following fields
		routes         *Routes
		instances      map[InstanceID]Instance
		unlisted       map[InstanceID]unlisted // instances kept although their entries were removed
		doubts         doubts                  // about entries that a restored source lists
		statedLeavings statedLeavings
		removals       removals
		source         sourceStatus
		lag            versionLag
		graceEnds      time.Time     // end of the grace period after an outage
		hasSnapshot    bool          // a snapshot has been applied
		revision       Revision      // all entries and removals up to it are known
		routesUpTo     Revision      // no version up to it is newer than the routes
		invalidEntries int           // total since the start
		deltaApplied   chan struct{} // capacity 1; signals that ApplyDelta advanced revision during a watch
		advanced       chan struct{} // closed and replaced when revision or the routes advance
		callbacks      callbacks
	}
)

// DefaultConfig returns the default configuration.
func DefaultConfig(l log.Interface) Config {
	return Config{UnlistedGrace: unlistedGrace, OutageGrace: outageGrace, SpreadWatches: true, Log: l}
}

// New returns an empty Directory.
func New(cfg Config) *Directory {
	d := &Directory{cfg: cfg, log: cfg.Log, instances: map[InstanceID]Instance{}, unlisted: map[InstanceID]unlisted{}, doubts: doubts{}, statedLeavings: statedLeavings{}, removals: newRemovals(),
		deltaApplied: make(chan struct{}, 1), advanced: make(chan struct{})}
	d.view.Store(newView(nil, nil))
	return d
}

// View returns the current state. It is safe for concurrent use.
func (d *Directory) View() *View { return d.view.Load() }

// HasSnapshot reports whether a complete list of instances has been applied. It
// is safe for concurrent use.
func (d *Directory) HasSnapshot() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasSnapshot
}

// Replace applies a snapshot. Entries missing from it are removed, or kept as
// unconfirmed after an outage of the source. It is safe for concurrent use.
func (d *Directory) Replace(s Snapshot) {
	d.mu.Lock()
	defer d.unlock()
	d.setRoutes(s.Routes, routesOrigin{revision: s.Revision})
	d.replaceLocked(s)
	d.routesUpTo = max(d.routesUpTo, s.Revision)
}

func (d *Directory) replaceLocked(s Snapshot) {
	if d.hasSnapshot && s.Revision.Era() > d.revision.Era() {
		d.noteRestore(s.Revision)
	}
	knownTo := d.revision
	if s.Revision >= knownTo {
		knownTo = 0 // the snapshot is not older, so its entries were not removed since
	}
	present := map[InstanceID]bool{}
	for _, id := range s.Invalid {
		present[id] = true
	}
	d.invalidEntries += len(s.Invalid)
	for _, in := range s.Instances {
		present[in.ID] = true
		d.put(in, knownTo)
	}
	for id, in := range d.instances {
		if !present[id] && in.Revision <= s.Revision {
			d.remove(id, s.Revision)
		}
	}
	// Removals up to this revision may be unknown here, so nodes that are
	// behind it get the whole state.
	d.removals.completeAfter = max(d.removals.completeAfter, s.Revision)
	d.hasSnapshot = true
	d.advance(s.Revision)
	d.publish()
}

// advance records that everything up to a revision is known.
func (d *Directory) advance(to Revision) {
	if to <= d.revision {
		return
	}
	d.revision = to
	d.wakeAwaits()
}

func (d *Directory) wakeAwaits() {
	close(d.advanced)
	d.advanced = make(chan struct{})
}

// Revision returns the revision of the source up to which all entries and removals
// are known. It is safe for concurrent use.
func (d *Directory) Revision() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Apply applies changes in order. Afterwards all entries and removals up to
// revision upTo are known. It is safe for concurrent use.
func (d *Directory) Apply(changes []Change, upTo Revision) {
	d.mu.Lock()
	defer d.unlock()
	d.applyLocked(changes, upTo)
	d.routesUpTo = max(d.routesUpTo, upTo)
}

func (d *Directory) applyLocked(changes []Change, upTo Revision) {
	knownTo := d.revision
	d.advance(upTo)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		switch {
		case c.Routes != nil:
			d.setRoutes(c.Routes, routesOrigin{revision: upTo})
		case c.Instance != nil:
			d.put(*c.Instance, knownTo)
		case c.Removed != "":
			d.remove(c.Removed, c.RemovedAt)
		case c.Invalid != "":
			d.invalidEntries++
		}
	}
	d.publish()
}

// setRoutes activates routes that are newer than the current ones, and reports
// whether they were. Their version alone decides: a node that was paused or reads
// a stale copy must not return to an older one, and the revision at which a source
// lists a version may change or be unknown.
func (d *Directory) setRoutes(r *Routes, from routesOrigin) bool {
	if r == nil || (d.routes != nil && r.Version <= d.routes.Version) {
		return false
	}
	before := d.routesVersion()
	d.routes = r
	d.wakeAwaits()
	d.log.WithFields(log.Fields{"version": r.Version, "before": before, "peer": from.peer, "revision": from.revision, "age_ms": from.age.Milliseconds()}).Info("routes_in_force")
	return true
}

// put applies an entry if it is newer than the one held. Of two starts under
// one ID the later wins even if its entry was written first, because a report
// of the earlier start can arrive late. An entry that is not held although
// everything up to its revision is known has been removed; a late message must
// not bring it back.
func (d *Directory) put(in Instance, knownTo Revision) {
	old, known := d.instances[in.ID]
	if (!known && in.Revision <= knownTo) || in.Revision <= d.removals.latest[in.ID].at {
		return
	}
	if known && (in.Started < old.Started || (in.Started == old.Started && old.Revision > in.Revision)) {
		return
	}
	d.checkRestored(in)
	delete(d.unlisted, in.ID)
	d.instances[in.ID] = in
	if !known || old.Leaving != in.Leaving || old.Started != in.Started {
		d.log.WithFields(log.Fields{"instance": in.ID, "started": in.Started, "service": in.Service, "leaving": in.Leaving, "stated_leaving": d.statedLeavings.includes(in.Incarnation()), "revision": in.Revision}).Info("instance_listed")
	}
}

// remove handles the removal of an entry. A leaving instance is dropped. Any
// other may merely have lost its connection to the source: it is kept as
// unconfirmed until its node denies it or the grace period ends.
func (d *Directory) remove(id InstanceID, at Revision) {
	in, ok := d.instances[id]
	doubt, doubted := d.doubts[id]
	left := d.isLeaving(&in) || doubt.left
	d.removals.add(id, removedEntry{at: at, started: in.Started, left: left})
	if !ok || in.Revision > at {
		return
	}
	if left || doubted {
		d.drop(id, "left")
		return
	}
	if _, already := d.unlisted[id]; already {
		return
	}
	until := time.Now().Add(d.cfg.UnlistedGrace)
	if d.graceEnds.After(until) {
		until = d.graceEnds
	}
	if !time.Now().Before(until) {
		d.drop(id, "entry removed")
		return
	}
	d.unlisted[id] = unlisted{until: until}
	d.log.WithFields(log.Fields{"instance": id, "revision": at, "kept_until": until}).Info("instance_unlisted")
}

func (d *Directory) drop(id InstanceID, reason string) {
	delete(d.instances, id)
	delete(d.unlisted, id)
	delete(d.doubts, id)
	d.log.WithFields(log.Fields{"instance": id, "why": reason}).Info("instance_gone")
}

// publish builds the current view. unlock passes it to the callbacks.
func (d *Directory) publish() {
	for id, in := range d.instances {
		u, ok := d.unlisted[id]
		in.Unlisted, in.Unconfirmed = ok, ok && !u.confirmed
		d.instances[id] = in
	}
	v := newView(d.routes, d.statedLeavings.applyTo(d.doubts.applyTo(d.instances)))
	d.view.Store(v)
	d.callbacks.pending = append(d.callbacks.pending, v)
}

// InvalidEntries returns the number of invalid entries read since the start. It
// is safe for concurrent use.
func (d *Directory) InvalidEntries() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.invalidEntries
}
