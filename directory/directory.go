package directory

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
)

const (
	// outageLapse is how long the source must have been away for an entry
	// missing afterwards to be in doubt: instances whose writes did not reach
	// it were dropped meanwhile.
	outageLapse = 1500 * time.Millisecond
	// returnGrace is how long such an entry is kept as doubtful after the
	// source is back. Live instances are back in the list within about two
	// seconds; half a second covers the way here.
	returnGrace = 2500 * time.Millisecond
	// askGrace is how long any other entry that goes without having said that
	// it leaves is kept as doubtful: the node beside the instance is asked
	// meanwhile, and answers within a quarter of a second.
	askGrace = 600 * time.Millisecond
)

type (
	// Change is one change of what a source lists; exactly one of its
	// fields is set.
	Change struct {
		Instance *Instance
		Gone     InstanceID
		GoneAt   Revision // of Gone
		Routes   *Routes
		// Refused is the instance that an entry was listed for that cannot be
		// read, or that is no instance's. It names none to use, and what was
		// known under its id holds.
		Refused InstanceID
	}

	// Snapshot is everything a source listed at a revision.
	Snapshot struct {
		Revision  Revision
		Routes    *Routes
		Instances []Instance
		Refused   []InstanceID // as in a Change
	}

	// Config is what a Directory is built from; the zero value keeps nothing
	// that is not listed and spreads no watches.
	Config struct {
		// AskGrace is how long an entry that goes without a word is kept while
		// the node beside the instance is asked; 0 for not at all.
		AskGrace time.Duration
		// ReturnGrace is how long one is that is missing after an outage of
		// the source; 0 for not at all.
		ReturnGrace time.Duration
		// Spread draws the watch after a change evenly from its whole time.
		Spread bool
		Log    log.Interface
	}

	// Directory keeps the newest knowledge of one deployment. It is safe for
	// concurrent use.
	Directory struct {
		cfg  Config
		log  log.Interface
		view atomic.Pointer[View]

		mu        sync.Mutex // guards the fields below
		routes    *Routes
		instances map[InstanceID]Instance
		unlisted  map[InstanceID]unlisted // kept all the same, for a while
		gone      removals                // of late
		contact   contact                 // with the source
		graceEnds time.Time               // after an outage
		listed    bool                    // a snapshot was applied
		revision  Revision                // up to which everything is known
		routesAt  Revision                // by which the routes in force were known
		refused   int                     // entries, since the start
		jumped    chan struct{}           // of one: revision moved on by another way than the watch
		moved     chan struct{}           // closed when revision moves on
		onChange  []func(*View)
	}
)

// Usual is the configuration that is measured to serve best.
func Usual(l log.Interface) Config {
	return Config{AskGrace: askGrace, ReturnGrace: returnGrace, Spread: true, Log: l}
}

// New returns a Directory that knows nothing yet.
func New(cfg Config) *Directory {
	d := &Directory{cfg: cfg, log: cfg.Log, instances: map[InstanceID]Instance{}, unlisted: map[InstanceID]unlisted{}, gone: newRemovals(),
		jumped: make(chan struct{}, 1), moved: make(chan struct{})}
	d.view.Store(newView(nil, nil))
	return d
}

// View returns what is known now.
func (d *Directory) View() *View { return d.view.Load() }

// Listed reports whether a whole list of instances was ever read.
func (d *Directory) Listed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// OnChange calls f with every new view, one at a time; f must be quick.
func (d *Directory) OnChange(f func(*View)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.onChange = append(d.onChange, f)
}

// Replace takes over a snapshot: what it lacks is gone, or in doubt after an
// outage of the source.
func (d *Directory) Replace(s Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.replace(s)
}

func (d *Directory) replace(s Snapshot) {
	d.adopt(s.Routes, s.Revision)
	known := d.revision
	if s.Revision >= known {
		known = 0 // nothing in it can have been removed since
	}
	there := map[InstanceID]bool{}
	for _, id := range s.Refused {
		there[id] = true
	}
	d.refused += len(s.Refused)
	for _, in := range s.Instances {
		there[in.ID] = true
		d.put(in, known)
	}
	for id, in := range d.instances {
		if !there[id] && in.Revision <= s.Revision {
			d.remove(id, s.Revision)
		}
	}
	// What was removed up to here, of entries that were never held, is not
	// known: others that are behind it are told everything.
	d.gone.floor = max(d.gone.floor, s.Revision)
	d.listed = true
	d.advance(s.Revision)
	d.publish()
}

// advance notes that everything up to a revision is known.
func (d *Directory) advance(to Revision) {
	if to <= d.revision {
		return
	}
	d.revision = to
	close(d.moved)
	d.moved = make(chan struct{})
}

// Revision returns up to which revision of the source everything is known.
func (d *Directory) Revision() Revision {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Apply takes over changes in their order; with them everything up to a
// revision is known.
func (d *Directory) Apply(changes []Change, upTo Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(changes, upTo)
}

func (d *Directory) apply(changes []Change, upTo Revision) {
	known := d.revision
	d.advance(upTo)
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		switch {
		case c.Routes != nil:
			d.adopt(c.Routes, upTo)
		case c.Instance != nil:
			d.put(*c.Instance, known)
		case c.Gone != "":
			d.remove(c.Gone, c.GoneAt)
		case c.Refused != "":
			d.refused++
		}
	}
	d.publish()
}

// adopt puts routes in force if they are newer than those held: a node that
// wakes late or reads an old copy must not fall back.
func (d *Directory) adopt(r *Routes, at Revision) {
	if r == nil || (d.routes != nil && r.Version <= d.routes.Version) {
		return
	}
	d.routes, d.routesAt = r, at
	d.log.WithField("version", r.Version).Info("routes_in_force")
}

// put takes over an entry that is newer than the one held. Of two starts
// under one id the later counts, whichever entry was written last: a report
// of the former can reach the source after the first of the next. An entry
// that is not held though all up to its revision is known was removed since:
// a late message, from a source or a node that is behind, must not bring it
// back.
func (d *Directory) put(in Instance, knownTo Revision) {
	old, known := d.instances[in.ID]
	if (!known && in.Revision <= knownTo) || in.Revision <= d.gone.at[in.ID] {
		return
	}
	if known && (in.Started < old.Started || (in.Started == old.Started && old.Revision > in.Revision)) {
		return
	}
	delete(d.unlisted, in.ID)
	d.instances[in.ID] = in
	if !known || old.Leaving != in.Leaving || old.Started != in.Started {
		d.log.WithFields(log.Fields{"instance": in.ID, "started": in.Started, "service": in.Service, "leaving": in.Leaving, "revision": in.Revision}).Info("instance_listed")
	}
}

// remove takes an entry off the list. An instance that said it leaves is
// gone. Any other may only have lost touch with the source: it stays as
// doubtful, used only where a service has no others, until the node beside it
// has been asked, or for as long as it may take to be listed again.
func (d *Directory) remove(id InstanceID, at Revision) {
	d.gone.add(id, at)
	in, ok := d.instances[id]
	if !ok || in.Revision > at {
		return
	}
	if in.Leaving {
		d.drop(id, "left")
		return
	}
	if _, already := d.unlisted[id]; already {
		return
	}
	until := time.Now().Add(d.cfg.AskGrace)
	if d.graceEnds.After(until) {
		until = d.graceEnds
	}
	if !time.Now().Before(until) {
		d.drop(id, "removed from the list")
		return
	}
	d.unlisted[id] = unlisted{until: until}
	d.log.WithFields(log.Fields{"instance": id, "revision": at, "kept_until": until}).Info("instance_unlisted")
}

func (d *Directory) drop(id InstanceID, why string) {
	delete(d.instances, id)
	delete(d.unlisted, id)
	d.log.WithFields(log.Fields{"instance": id, "why": why}).Info("instance_gone")
}

// publish makes the state the current view.
func (d *Directory) publish() {
	for id, in := range d.instances {
		u, ok := d.unlisted[id]
		in.Unlisted, in.Doubtful = ok, ok && !u.vouched
		d.instances[id] = in
	}
	v := newView(d.routes, d.instances)
	d.view.Store(v)
	for _, f := range d.onChange {
		f(v)
	}
}

// Refused returns how many entries were read that name no instance.
func (d *Directory) Refused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused
}
