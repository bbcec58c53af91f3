package directory

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// maxRemovals is how many removals are kept for deltas to other nodes. A node
// that is further behind gets the whole state. Nodes poll every second, and the
// loss of a whole data centre at the planned size removes fewer than 200.
const maxRemovals = 1024

type (
	// Removal is an entry that was removed at a revision.
	Removal struct {
		ID InstanceID
		At Revision
	}

	// Position is what a node holds: the entries and removals up to a revision, and
	// a version of the routes. The two are independent. A reader reads them one after
	// the other, so no revision tells which version it has, and a restored source
	// lists a version that nodes hold already at another revision.
	Position struct {
		Revision Revision
		// Routes is the version of the routes; 0 for none, or from a node of the former
		// version, which does not state it.
		Routes callgraph.Version
	}

	// Delta is the difference between the state at revision After and the state
	// that the sending node holds. It contains the routes if they are newer than
	// those of the node that asked.
	Delta struct {
		Snapshot
		After   Revision // 0 if Snapshot is complete; entries missing from it were removed
		Removed []Removal
		Age     time.Duration // upper bound for the age of the state
		// RoutesVersion is the version of the routes that the sending node holds,
		// also if they are not included. No version up to Revision is newer. It is 0 if
		// the node has no routes or cannot tell, as nodes of the former version and
		// those that learnt their revision from them.
		RoutesVersion callgraph.Version
		Peer          string // address of the sending node, for logs; not sent
	}

	// removedEntry is the removal of an entry and what was known of its
	// instance.
	removedEntry struct {
		at      Revision
		started UnixMilli
		left    bool // it was leaving
	}

	// removals holds the latest removal of each instance, bounded by
	// maxRemovals.
	removals struct {
		latest map[InstanceID]removedEntry
		// completeAfter is the revision up to which removals may be missing.
		completeAfter Revision
	}
)

func newRemovals() removals { return removals{latest: map[InstanceID]removedEntry{}} }

func (r *removals) add(id InstanceID, e removedEntry) {
	old := r.latest[id]
	e.at = max(e.at, old.at)
	if e.started <= old.started {
		e.started, e.left = old.started, e.left || old.left
	}
	r.latest[id] = e
	if len(r.latest) <= maxRemovals {
		return
	}
	oldest := id
	for other, e := range r.latest {
		if e.at < r.latest[oldest].at {
			oldest = other
		}
	}
	r.completeAfter = max(r.completeAfter, r.latest[oldest].at)
	delete(r.latest, oldest)
}

// Position returns what this node holds. It is safe for concurrent use.
func (d *Directory) Position() Position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Position{Revision: d.revision, Routes: d.routesVersion()}
}

// Since returns what is known here beyond a position, for another node. Unlisted
// instances are omitted: each node decides by itself whether to keep them. It is
// safe for concurrent use.
func (d *Directory) Since(p Position) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sinceLocked(p)
}

func (d *Directory) sinceLocked(p Position) Delta {
	after := p.Revision
	x := Delta{Snapshot: Snapshot{Revision: d.revision}, Age: d.source.age(time.Now())}
	if d.routesUpTo >= d.revision {
		x.RoutesVersion = d.routesVersion()
	}
	if d.routesVersion() > p.Routes {
		x.Routes = d.routes
	}
	if after >= d.removals.completeAfter && after <= d.revision {
		x.After = after
	}
	if after > d.revision {
		x.After = d.revision // the other node is ahead
		return x
	}
	for id, in := range d.instances {
		if _, ok := d.unlisted[id]; !ok && (x.After == 0 || in.Revision > x.After) {
			x.Instances = append(x.Instances, in)
		}
	}
	if x.After == 0 {
		return x
	}
	for id, e := range d.removals.latest {
		if e.at > x.After {
			x.Removed = append(x.Removed, Removal{ID: id, At: e.at})
		}
	}
	return x
}

// Await is like Since, but waits until something beyond the position is known,
// wait has passed or ctx ends. Without a version of the routes in the position only
// a revision ends the wait: nodes that do not state theirs would ask without pause.
func (d *Directory) Await(ctx context.Context, p Position, wait time.Duration) Delta {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d.mu.Lock()
		newerRoutes := p.Routes > 0 && d.routesVersion() > p.Routes
		if d.hasSnapshot && (d.revision > p.Revision || newerRoutes) {
			defer d.mu.Unlock()
			return d.sinceLocked(p)
		}
		advanced := d.advanced
		d.mu.Unlock()
		select {
		case <-advanced:
		case <-t.C:
			return d.Since(p)
		case <-ctx.Done():
			return d.Since(p)
		}
	}
}

// ApplyDelta applies what is newer in a delta from another node than the state
// held here, and reports whether anything was. If the revision advances, a watch in
// progress is restarted from there. It is safe for concurrent use.
func (d *Directory) ApplyDelta(x Delta) bool {
	d.mu.Lock()
	defer d.unlock()
	newRoutes := d.setRoutes(x.Routes, routesOrigin{peer: x.Peer, revision: x.Revision, age: x.Age})
	if x.RoutesVersion > 0 {
		d.routesUpTo = max(d.routesUpTo, x.Revision)
	}
	applied := d.applyEntriesLocked(x)
	if newRoutes {
		d.publish()
	}
	d.lag.record(x.RoutesVersion, d.routesVersion(), time.Now())
	return applied || newRoutes
}

// applyEntriesLocked applies the entries and removals of a delta if its revision is
// newer, and reports whether it was.
func (d *Directory) applyEntriesLocked(x Delta) bool {
	if x.After > d.revision {
		return false // applying it would skip the changes in between
	}
	d.recordPeerAge(x.Age)
	if x.Revision <= d.revision {
		return false
	}
	if x.After == 0 {
		d.replaceLocked(x.Snapshot)
	} else {
		d.applyLocked(x.changes(), x.Revision)
	}
	select {
	case d.deltaApplied <- struct{}{}:
	default:
	}
	return true
}

// changes returns the entries and removals of a delta as changes of a source.
func (x *Delta) changes() []Change {
	cs := make([]Change, 0, len(x.Instances)+len(x.Removed))
	for _, removal := range x.Removed {
		cs = append(cs, Change{Removed: removal.ID, RemovedAt: removal.At})
	}
	for i := range x.Instances {
		cs = append(cs, Change{Instance: &x.Instances[i]})
	}
	for _, id := range x.Invalid {
		cs = append(cs, Change{Invalid: id})
	}
	return cs
}
