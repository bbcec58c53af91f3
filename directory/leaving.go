package directory

import (
	"maps"
	"time"

	"github.com/apex/log"
)

// maxStatedLeavings is how many instances are remembered to have stated that
// they leave.
const maxStatedLeavings = 1024

// statedLeavings holds the runs of instances that have stated in an answer that
// they leave, and when this node learned it. A run that leaves does not come
// back, whatever the source lists: its entry may be older than the answer, or
// the source out of reach.
type statedLeavings map[Incarnation]time.Time

// MarkLeaving records that a run of an instance has stated that it leaves. It is
// safe for concurrent use.
func (d *Directory) MarkLeaving(of Incarnation) {
	d.mu.Lock()
	defer d.unlock()
	if _, known := d.statedLeavings[of]; known {
		return
	}
	d.statedLeavings.add(of)
	d.log.WithFields(log.Fields{"instance": of.ID, "started": of.At}).Info("instance_stated_leaving")
	d.publish()
}

// HasStatedLeaving reports whether a run of an instance is known to have stated
// that it leaves. It is safe for concurrent use.
func (d *Directory) HasStatedLeaving(of Incarnation) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, stated := d.statedLeavings[of]
	return stated
}

// isLeaving reports whether an instance is listed as leaving or has stated that
// it leaves.
func (d *Directory) isLeaving(in *Instance) bool {
	_, stated := d.statedLeavings[in.Incarnation()]
	return in.Leaving || stated
}

func (l statedLeavings) add(of Incarnation) {
	l[of] = time.Now()
	if len(l) <= maxStatedLeavings {
		return
	}
	oldest := of
	for other, at := range l {
		if at.Before(l[oldest]) {
			oldest = other
		}
	}
	delete(l, oldest)
}

// applyTo returns the instances as this node uses them: those that have stated
// that they leave get no requests.
func (l statedLeavings) applyTo(instances map[InstanceID]Instance) map[InstanceID]Instance {
	if len(l) == 0 {
		return instances
	}
	used := maps.Clone(instances)
	for of := range l {
		if in, ok := used[of.ID]; ok && in.Started == of.At {
			in.Leaving = true
			used[of.ID] = in
		}
	}
	return used
}
