package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/oatpin/oatpin/configservice"
	"github.com/rotisserie/eris"
)

// vmListPropagation is the time within which every node that can reach the
// configuration service has read a change of the VM list.
const vmListPropagation = rewatchJitter + 2*watchBackoff

// vmListPosition is up to where the VM list is known; the zero value is before
// the first read.
type vmListPosition struct {
	era      string // of the configuration service, which assigns revisions again after a restart
	revision uint64
}

// watchVMs long-polls the configuration service's VM list until the node stops.
// Instances listed as leaving get no new calls, and this node drains if its own
// instance is listed. Shutdown, which marks answers as leaving, takes effect
// sooner than the list. While the list is unavailable, the last one read is
// kept.
func (n *Node) watchVMs() {
	var at vmListPosition
	unreachable := false
	for !n.stopped() {
		next, err := n.pollVMs(at)
		if n.stopped() {
			return
		}
		if err != nil {
			if !unreachable {
				n.log.WithError(err).WithField("revision", at.revision).Warn("vm_list_unreachable")
			}
			unreachable = true
			n.sleep(watchBackoff)
			continue
		}
		if unreachable {
			n.log.WithField("revision", next.revision).Info("vm_list_reachable")
		}
		unreachable = false
		if next != at && at.revision != 0 {
			n.sleep(rand.N(rewatchJitter))
		}
		at = next
	}
}

// pollVMs issues one watch request for a VM list newer than at, applies it and
// returns its position.
func (n *Node) pollVMs(at vmListPosition) (vmListPosition, error) {
	ctx, cancel := n.watchContext()
	defer cancel()
	url := n.cfg.Settings.ConfigServiceURL + "/v1/vms?after=" + strconv.FormatUint(at.revision, 10) + "&era=" + at.era + "&wait=" + watchTimeout.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return at, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return at, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return at, nil
	default:
		return at, eris.Errorf("fetch VM list: unexpected status %s", resp.Status)
	}
	var list configservice.VMList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return at, eris.Wrap(err, "decode VM list")
	}
	n.applyVMs(list)
	return vmListPosition{era: list.Era, revision: list.Revision}, nil
}

func (n *Node) applyVMs(list configservice.VMList) {
	if list.Full {
		n.table.ClearLeaving()
	}
	for _, vm := range list.VMs {
		n.table.SetLeaving(vm.Instance, vm.Leaving)
		if vm.Instance == n.cfg.Settings.Instance && vm.Leaving && !n.leaving.Swap(true) {
			n.log.Info("node_leaving_by_vm_list")
		}
	}
	n.ownership.SetVMListRead()
}
