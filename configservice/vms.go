package configservice

import (
	"encoding/json"
	"net/http"
	"time"
)

type (
	// VM is one change of the VM list; instances without a change are live.
	VM struct {
		Instance string `json:"instance"`
		Leaving  bool   `json:"leaving"`
	}

	// VMList is the response to a read of the VM list: the changes after the
	// reader's revision, oldest first, or all changes if that revision is
	// unknown or of another era.
	VMList struct {
		Era      string `json:"era"` // identifies the run of the service that assigned Revision
		Revision uint64 `json:"revision"`
		Full     bool   `json:"full"` // VMs has all changes
		VMs      []VM   `json:"vms"`
	}

	vmChange struct {
		VM
		visibleAt time.Time // when readers may see the change
	}
)

// SetLeaving marks an instance as leaving; readers see the change after
// Config.VMListDelay.
func (s *Server) SetLeaving(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmChange{VM: VM{Instance: instance, Leaving: true}, visibleAt: time.Now().Add(s.cfg.VMListDelay)})
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleVMs serves the changes after the revision in after= of the era in era=.
// It blocks up to wait= for a visible change and then responds with 304.
func (s *Server) handleVMs(w http.ResponseWriter, r *http.Request) {
	after, wait, ok := s.admitWatch(w, r)
	if !ok {
		return
	}
	deadline := time.Now().Add(wait)
	if era := r.URL.Query().Get("era"); era != "" && era != s.era {
		after = 0
	}
	for {
		list, next, changed := s.visibleVMs(after)
		if _, mode, _ := s.view(); mode == ModeDown {
			http.Error(w, "VM list down", http.StatusServiceUnavailable)
			return
		}
		if list.Full || len(list.VMs) > 0 {
			json.NewEncoder(w).Encode(list)
			return
		}
		if !next.IsZero() && next.Before(deadline) {
			wait = time.Until(next)
		} else {
			wait = time.Until(deadline)
		}
		select {
		case <-changed:
		case <-time.After(wait):
			if !time.Now().Before(deadline) {
				w.WriteHeader(http.StatusNotModified)
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// visibleVMs returns the visible changes after a revision, the time at which
// the next one becomes visible (zero for none), and the channel that is closed
// on a change. Revision 0 and unknown revisions, such as from before a restart
// of the service, get the full list; revisions start at 1.
func (s *Server) visibleVMs(after uint64) (VMList, time.Time, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	n := 0
	for n < len(s.vms) && !s.vms[n].visibleAt.After(now) {
		n++
	}
	list := VMList{Era: s.era, Revision: uint64(n) + 1}
	from := 0
	if after == 0 || after > list.Revision {
		list.Full = true
	} else {
		from = int(after - 1)
	}
	for _, c := range s.vms[from:n] {
		list.VMs = append(list.VMs, c.VM)
	}
	var next time.Time
	if n < len(s.vms) {
		next = s.vms[n].visibleAt
	}
	return list, next, s.changed
}
