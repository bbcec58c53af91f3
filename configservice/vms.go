package configservice

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// VM is one change of the VM list: an instance not mentioned is live.
	VM struct {
		Instance string `json:"instance"`
		Leaving  bool   `json:"leaving"`
	}

	// VMList is what a read of the VM list answers: the changes after the
	// revision the reader holds, oldest first, or from the beginning when
	// the platform does not know that revision.
	VMList struct {
		Revision uint64 `json:"revision"`
		Full     bool   `json:"full"` // VMs starts at the beginning
		VMs      []VM   `json:"vms"`
	}

	vmChange struct {
		VM
		visible time.Time // when the list's lag has passed
	}
)

// SetLeaving marks an instance as leaving in the VM list; readers see it
// after the list's lag.
func (p *Platform) SetLeaving(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmChange{VM: VM{Instance: instance, Leaving: true}, visible: time.Now().Add(p.cfg.VMLag)})
	close(p.changed)
	p.changed = make(chan struct{})
}

// handleVMs answers a read of the VM list, or a watch when after= names the
// revision the reader holds: it waits up to wait= for a change that readers
// may see and answers 304 if none came.
func (p *Platform) handleVMs(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := p.admitWatch(w, r)
	if !ok {
		return
	}
	end := time.Now().Add(wait)
	for {
		list, next, changed := p.visibleVMs(after)
		if _, mode, _ := p.view(); mode == ModeDown {
			http.Error(w, "VM list down", http.StatusServiceUnavailable)
			return
		}
		if list.Full || len(list.VMs) > 0 {
			json.NewEncoder(w).Encode(list)
			return
		}
		if !next.IsZero() && next.Before(end) {
			wait = time.Until(next)
		} else {
			wait = time.Until(end)
		}
		select {
		case <-changed:
		case <-time.After(wait):
			if !time.Now().Before(end) {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// visibleVMs returns the changes after a revision that readers may see now,
// when the next one becomes visible (zero for none), and the channel that
// is closed on a change. Revision 0 and one from another run of the
// platform get the full list; revisions begin at 1.
func (p *Platform) visibleVMs(after uint64) (VMList, time.Time, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	n := 0
	for n < len(p.vms) && !p.vms[n].visible.After(now) {
		n++
	}
	list := VMList{Revision: uint64(n) + 1}
	from := 0
	if after == 0 || after > list.Revision {
		list.Full = true
	} else {
		from = int(after - 1)
	}
	for _, c := range p.vms[from:n] {
		list.VMs = append(list.VMs, c.VM)
	}
	var next time.Time
	if n < len(p.vms) {
		next = p.vms[n].visible
	}
	return list, next, p.changed
}
