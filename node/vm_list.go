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

// watchVMs long-polls the configuration service's VM list until the node stops.
// Instances listed as leaving get no new calls, and this node drains if its own
// instance is listed. Shutdown, which marks answers as leaving, takes effect
// sooner than the list. While the list is unavailable, the last one read is
// kept.
func (n *Node) watchVMs() {
	var revision uint64
	unreachable := false
	for !n.stopped() {
		next, err := n.pollVMs(revision)
		if n.stopped() {
			return
		}
		if err != nil {
			if !unreachable {
				n.log.WithError(err).WithField("revision", revision).Warn("vm_list_unreachable")
			}
			unreachable = true
			n.sleep(watchBackoff)
			continue
		}
		if unreachable {
			n.log.WithField("revision", next).Info("vm_list_reachable")
		}
		unreachable = false
		if next != revision && revision != 0 {
			n.sleep(rand.N(rewatchJitter))
		}
		revision = next
	}
}

// pollVMs issues one watch request for a VM list newer than revision, applies
// it and returns the latest revision.
func (n *Node) pollVMs(revision uint64) (uint64, error) {
	ctx, cancel := n.watchContext()
	defer cancel()
	url := n.cfg.Settings.ConfigServiceURL + "/v1/vms?after=" + strconv.FormatUint(revision, 10) + "&wait=" + watchTimeout.String()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := n.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return revision, nil
	default:
		return 0, eris.Errorf("fetch VM list: unexpected status %s", resp.Status)
	}
	var list configservice.VMList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return 0, eris.Wrap(err, "decode VM list")
	}
	n.applyVMs(list)
	return list.Revision, nil
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
