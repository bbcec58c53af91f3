package node

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/oatpin/oatpin/configservice"
	"github.com/rotisserie/eris"
)

// vmListLag is within which every node that reaches the platform has read a
// change of the VM list: its watch answers at once, or it backs off and asks
// again.
const vmListLag = rewatchSpread + 2*watchBackoff

// watchVMs is the controller that follows the platform's VM list: peers
// listed as leaving get no new calls, and when this node's own instance is
// listed it starts to drain. The list lags, so a node's own Shutdown (which
// marks its answers at once) is the fast path and the list the slow one.
// While it cannot be read the last one stays in force: it is a hint.
func (n *Node) watchVMs() {
	var revision uint64
	lost := false
	for !n.stopped() {
		next, err := n.pollVMs(revision)
		if n.stopped() {
			return
		}
		if err != nil {
			if !lost {
				n.log.WithError(err).WithField("revision", revision).Warn("vm_list_unreachable")
			}
			lost = true
			n.pause(watchBackoff)
			continue
		}
		if lost {
			n.log.WithField("revision", next).Info("vm_list_reachable")
		}
		lost = false
		if next != revision && revision != 0 {
			n.pause(rand.N(rewatchSpread))
		}
		revision = next
	}
}

// pollVMs waits once at the platform for a change of the VM list after
// revision, puts it in force and returns the revision then held.
func (n *Node) pollVMs(revision uint64) (uint64, error) {
	ctx, cancel := n.watchContext()
	defer cancel()
	url := n.cfg.Settings.Platform + "/v1/vms?after=" + strconv.FormatUint(revision, 10) + "&wait=" + watchWait.String()
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
		return 0, eris.Errorf("vm list: %s", resp.Status)
	}
	var list configservice.VMList
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return 0, eris.Wrap(err, "vm list")
	}
	n.applyVMs(list)
	return list.Revision, nil
}

func (n *Node) applyVMs(list configservice.VMList) {
	if list.Full {
		n.table.ClearListed()
	}
	for _, vm := range list.VMs {
		n.table.SetListed(vm.Instance, vm.Leaving)
		if vm.Instance == n.cfg.Settings.Instance && vm.Leaving && !n.leaving.Swap(true) {
			n.log.Info("node_leaving_by_vm_list")
		}
	}
	n.book.Confirm()
}
