package directory

import (
	"context"
	"time"
)

// goneKept is how many removals a node can tell others of. A node that asks
// each second lacks a handful; all VMs of a data centre lost at the planned
// size are under two hundred.
const goneKept = 1024

type (
	// Removal is an entry that went.
	Removal struct {
		ID InstanceID
		At Revision
	}

	// Delta is what a node that knows everything up to a revision lacks of
	// what another knows.
	Delta struct {
		Snapshot
		After Revision // 0 where the Snapshot is whole, and what it lacks is gone
		Gone  []Removal
		Age   time.Duration // how old this may be
	}

	// removals are the latest removals, of each id the last.
	removals struct {
		at map[InstanceID]Revision
		// floor is the revision up to which some are not known, or forgotten.
		floor Revision
	}
)

func newRemovals() removals { return removals{at: map[InstanceID]Revision{}} }

func (r *removals) add(id InstanceID, at Revision) {
	r.at[id] = max(r.at[id], at)
	if len(r.at) <= goneKept {
		return
	}
	oldest := id
	for o, at := range r.at {
		if at < r.at[oldest] {
			oldest = o
		}
	}
	r.floor = max(r.floor, r.at[oldest])
	delete(r.at, oldest)
}

// Since returns what is known here beyond a revision, for another node. What
// is kept here though it is not listed is this node's own belief.
func (d *Directory) Since(after Revision) Delta {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since(after)
}

func (d *Directory) since(after Revision) Delta {
	x := Delta{Snapshot: Snapshot{Revision: d.revision}, Age: d.contact.age(time.Now())}
	if after >= d.gone.floor && after <= d.revision {
		x.After = after
	}
	if after > d.revision {
		x.After = d.revision // nothing that the other does not know
		return x
	}
	if x.After == 0 || d.routesAt > x.After {
		x.Routes = d.routes
	}
	for id, in := range d.instances {
		if _, ok := d.unlisted[id]; !ok && (x.After == 0 || in.Revision > x.After) {
			x.Instances = append(x.Instances, in)
		}
	}
	if x.After == 0 {
		return x
	}
	for id, at := range d.gone.at {
		if at > x.After {
			x.Gone = append(x.Gone, Removal{ID: id, At: at})
		}
	}
	return x
}

// Await is like Since, and waits for something beyond the revision for some
// time, or until ctx ends.
func (d *Directory) Await(ctx context.Context, after Revision, wait time.Duration) Delta {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		d.mu.Lock()
		if d.listed && d.revision > after {
			defer d.mu.Unlock()
			return d.since(after)
		}
		moved := d.moved
		d.mu.Unlock()
		select {
		case <-moved:
		case <-t.C:
			return d.Since(after)
		case <-ctx.Done():
			return d.Since(after)
		}
	}
}

// Learn takes over what another node told, if it is newer than what is known
// here, and reports whether it was. A watch goes on from there.
func (d *Directory) Learn(x Delta) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if x.After > d.revision {
		return false // what lies between is not known here
	}
	d.told(x.Age)
	if x.Revision <= d.revision {
		return false
	}
	if x.After == 0 {
		d.replace(x.Snapshot)
	} else {
		d.apply(x.changes(), x.Revision)
	}
	select {
	case d.jumped <- struct{}{}:
	default:
	}
	return true
}

// changes returns a delta's contents as a source would tell them.
func (x *Delta) changes() []Change {
	cs := make([]Change, 0, len(x.Instances)+len(x.Gone)+1)
	if x.Routes != nil {
		cs = append(cs, Change{Routes: x.Routes})
	}
	for _, g := range x.Gone {
		cs = append(cs, Change{Gone: g.ID, GoneAt: g.At})
	}
	for i := range x.Instances {
		cs = append(cs, Change{Instance: &x.Instances[i]})
	}
	return cs
}
