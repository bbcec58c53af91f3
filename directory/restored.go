package directory

import (
	"maps"
	"time"

	"github.com/apex/log"
)

// relistedGrace is how long an entry that a restored source lists again is
// doubted. By then live instances, which report every 1.5 s, have written their
// entries again, and those of instances that have exited have expired.
const relistedGrace = 6 * time.Second

type (
	// doubt is about an entry that a restored source lists although this node
	// knows better from before the restore: the backup is older than that.
	doubt struct {
		left  bool // the instance was leaving; otherwise its entry was removed
		until time.Time
	}

	// doubts holds the doubted entries by instance.
	doubts map[InstanceID]doubt
)

// noteRestore records that the source came back from a backup, as of a revision
// of the new era. The entries that the backup lacks are treated as after an
// outage, since live instances report again within the same time.
func (d *Directory) noteRestore(at Revision) {
	now := time.Now()
	d.log.WithFields(log.Fields{"from": d.revision, "to": at}).Warn("source_restored")
	d.graceEnds = now.Add(d.cfg.OutageGrace)
	d.source.lastUnreachable = now
}

// checkRestored decides whether an entry that is about to replace what is known
// of its instance is doubted. Without this, a node would send requests again to
// an instance that reported that it leaves, or whose entry was removed, when the
// source comes back from a backup. Only the first state of an era can be a
// backup's: what changes later was written again, and is no longer doubted.
func (d *Directory) checkRestored(in Instance) {
	prev, known := d.instances[in.ID]
	removed, wasRemoved := d.removals.latest[in.ID]
	old, doubted := d.doubts[in.ID]
	firstOfEra := d.revision.Era() < in.Revision.Era()
	switch {
	case known && prev.Revision == in.Revision:
		return // loaded once more
	case !firstOfEra, in.Leaving, known && prev.Started < in.Started:
		delete(d.doubts, in.ID)
	case known && (prev.Leaving || doubted):
		d.addDoubt(in.ID, prev.Leaving || old.left)
	case !known && wasRemoved && in.Started <= removed.started:
		d.addDoubt(in.ID, removed.left)
	}
}

func (d *Directory) addDoubt(id InstanceID, left bool) {
	until := time.Now().Add(relistedGrace)
	d.doubts[id] = doubt{left: left, until: until}
	d.log.WithFields(log.Fields{"instance": id, "left": left, "until": until}).Info("instance_doubted")
}

// expireDoubts ends the doubts whose time is over and reports whether there were
// any.
func (d *Directory) expireDoubts(now time.Time) bool {
	before := len(d.doubts)
	maps.DeleteFunc(d.doubts, func(_ InstanceID, x doubt) bool { return !now.Before(x.until) })
	return len(d.doubts) != before
}

// applyTo returns the instances as this node uses them: one that was leaving
// gets no requests, one whose entry was removed only as the last resort.
func (ds doubts) applyTo(instances map[InstanceID]Instance) map[InstanceID]Instance {
	if len(ds) == 0 {
		return instances
	}
	used := maps.Clone(instances)
	for id, x := range ds {
		in := used[id]
		in.Leaving = in.Leaving || x.left
		in.Unconfirmed = in.Unconfirmed || !x.left
		used[id] = in
	}
	return used
}
