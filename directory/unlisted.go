package directory

import (
	"time"

	"github.com/apex/log"
)

// unlisted is the state of an instance that is kept although its entry was
// removed.
type unlisted struct {
	until     time.Time
	confirmed bool // its node confirmed that it is alive
}

// ConfirmUnlisted records that the node of an unlisted instance confirmed that
// it is alive. It is used like a listed one until the given time. It is safe for
// concurrent use.
func (d *Directory) ConfirmUnlisted(at Incarnation, until time.Time) {
	d.mu.Lock()
	defer d.unlock()
	u, ok := d.unlistedAt(at)
	if !ok {
		return
	}
	d.unlisted[at.ID] = unlisted{until: until, confirmed: true}
	if !u.confirmed {
		d.log.WithFields(log.Fields{"instance": at.ID, "until": until}).Info("instance_vouched")
		d.publish()
	}
}

// DropUnlisted drops an unlisted instance that its node did not confirm. It is
// safe for concurrent use.
func (d *Directory) DropUnlisted(at Incarnation) {
	d.mu.Lock()
	defer d.unlock()
	if _, ok := d.unlistedAt(at); ok {
		d.drop(at.ID, "not confirmed by its node")
		d.publish()
	}
}

func (d *Directory) unlistedAt(at Incarnation) (unlisted, bool) {
	u, ok := d.unlisted[at.ID]
	return u, ok && d.instances[at.ID].Started == at.At
}

// ExpireUnlisted drops the unlisted instances whose grace period or
// confirmation has expired, ends doubts about listed ones and what is inferred
// from statements of runs that were not listed, and logs if the routes have become
// older than another node's. It is safe for concurrent use.
func (d *Directory) ExpireUnlisted() {
	d.mu.Lock()
	defer d.unlock()
	now := time.Now()
	changed := d.expireDoubts(now)
	changed = d.expireStatedLeavings() || changed
	d.lag.check(d.routesVersion(), now, d.log)
	for id, u := range d.unlisted {
		if !now.Before(u.until) {
			d.drop(id, "not listed or confirmed in time")
			changed = true
		}
	}
	if changed {
		d.publish()
	}
}
