package directory

import (
	"maps"
	"time"

	"github.com/apex/log"
)

const (
	// maxStatedLeavings is how many instances are remembered to have stated that
	// they leave.
	maxStatedLeavings = 1024
	// unlistedLeavingTTL is how long a run that was listed only after the
	// statement counts as leaving. A run that leaves has exited by then. One that
	// has not may be a later run: if the clock of its VM was set back, it seems to
	// have started before the statement.
	unlistedLeavingTTL = 30 * time.Second
)

type (
	// statedLeavings holds the instances that have stated in an answer that they
	// leave. A run that leaves does not come back, whatever the source lists: its
	// entry may be older than the answer, or the source out of reach.
	statedLeavings map[InstanceID]statedLeaving

	// statedLeaving tells which runs of an instance leave or have left: the one
	// that stated it and all before it.
	statedLeaving struct {
		by     Sighting  // of the last run that stated it
		listed UnixMilli // start of the last run that had been listed by then
		at     time.Time // when this node learned it last
	}
)

// MarkLeaving records that the run of an instance that gave an answer has stated
// that it leaves. It is safe for concurrent use.
func (d *Directory) MarkLeaving(by Sighting) {
	d.mu.Lock()
	defer d.unlock()
	listed := Incarnation{ID: by.ID, At: d.instances[by.ID].Started}
	_, known := d.statedLeavings[by.ID]
	before := d.statedLeavings.includes(listed)
	d.statedLeavings.add(by, listed)
	changed := d.statedLeavings.includes(listed) != before
	if !known || changed {
		d.log.WithFields(log.Fields{"instance": by.ID, "up_at": by.At, "listed": listed.At}).Info("instance_stated_leaving")
	}
	if changed {
		d.publish()
	}
}

// HasStatedLeaving reports whether a run of an instance is known to have stated
// that it leaves. It is safe for concurrent use.
func (d *Directory) HasStatedLeaving(of Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.statedLeavings.includes(of)
}

// isLeaving reports whether an instance is listed as leaving or has stated that
// it leaves.
func (d *Directory) isLeaving(in *Instance) bool {
	return in.Leaving || d.statedLeavings.includes(in.Incarnation())
}

// add records a statement. listed is the run that is listed now.
func (l statedLeavings) add(by Sighting, listed Incarnation) {
	s := l[by.ID]
	s.at = time.Now()
	if by.At > s.by.At || s.by.ID == "" {
		s.by = by
	}
	if by.NotBefore(listed) {
		s.listed = max(s.listed, listed.At)
	}
	l[by.ID] = s
	if len(l) > maxStatedLeavings {
		l.removeOldest()
	}
}

func (l statedLeavings) removeOldest() {
	var oldest InstanceID
	for id, s := range l {
		if oldest == "" || s.at.Before(l[oldest].at) {
			oldest = id
		}
	}
	delete(l, oldest)
}

func (l statedLeavings) includes(run Incarnation) bool {
	s, ok := l[run.ID]
	return ok && (run.At <= s.listed || (s.by.IsOfUnlisted(run) && time.Since(s.at) < unlistedLeavingTTL))
}

// applyTo returns the instances as this node uses them: those that have stated
// that they leave get no requests.
func (l statedLeavings) applyTo(instances map[InstanceID]Instance) map[InstanceID]Instance {
	if len(l) == 0 {
		return instances
	}
	used := maps.Clone(instances)
	for id := range l {
		if in, ok := used[id]; ok && l.includes(in.Incarnation()) {
			in.Leaving = true
			used[id] = in
		}
	}
	return used
}

// expireStatedLeavings reports whether a run that is in use as leaving does no
// longer count as such.
func (d *Directory) expireStatedLeavings() bool {
	v := d.View()
	for id := range d.statedLeavings {
		in, ok := d.instances[id]
		used, _ := v.Find(id)
		if ok && used.Leaving && !d.isLeaving(&in) && !d.doubts[id].left {
			return true
		}
	}
	return false
}
