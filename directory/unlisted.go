package directory

import (
	"time"

	"github.com/apex/log"
)

// unlisted is an instance that is kept though its entry went.
type unlisted struct {
	until   time.Time
	vouched bool // the node beside it says that it is there
}

// Vouched notes that the node beside an unlisted instance vouches for it
// until a time. It is used like a listed one meanwhile.
func (d *Directory) Vouched(at Start, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, ok := d.unlistedStart(at)
	if !ok {
		return
	}
	d.unlisted[at.ID] = unlisted{until: until, vouched: true}
	if !u.vouched {
		d.log.WithFields(log.Fields{"instance": at.ID, "until": until}).Info("instance_vouched")
		d.publish()
	}
}

// Disown notes that the node beside an unlisted instance does not vouch for
// it.
func (d *Directory) Disown(at Start) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.unlistedStart(at); ok {
		d.drop(at.ID, "its node does not vouch for it")
		d.publish()
	}
}

func (d *Directory) unlistedStart(at Start) (unlisted, bool) {
	u, ok := d.unlisted[at.ID]
	return u, ok && d.instances[at.ID].Started == at.At
}

// Settle drops the unlisted instances whose time is up; call it now and then.
func (d *Directory) Settle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, dropped := time.Now(), false
	for id, u := range d.unlisted {
		if !now.Before(u.until) {
			d.drop(id, "not listed again, and nobody vouches for it")
			dropped = true
		}
	}
	if dropped {
		d.publish()
	}
}
