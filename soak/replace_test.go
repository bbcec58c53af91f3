package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	replacementSeed = 1
	replacementTime = 25 * time.Second
	// otherInstances is how many instances of another service are listed: the
	// more there are, the longer a node takes to apply a change.
	otherInstances = 1000
)

// Guards against a node that answers nothing any more because a check of its
// instance and a change of its directory wait for each other.
func TestNodesAnswerWhileInstancesAreReplaced(t *testing.T) {
	bin := buildBinary(t)
	Convey("Every node answers after all instances were replaced over and over", t, func() {
		withDeployment(t, startDeployment(t, bin, replacementSeed), func(d *deployment) {
			d.listOtherInstances()
			d.replaceTargets(replacementTime)
			time.Sleep(recoveryTime)
			So(d.silentNodes(), ShouldBeEmpty)
		})
	})
}

// listOtherInstances adds entries of instances that do not run, of a service that
// gets no requests.
func (d *deployment) listOtherInstances() {
	for i := range otherInstances {
		in := directory.Instance{ID: directory.InstanceID(fmt.Sprintf("other-%d", i)), Service: "other", DC: "west", Addr: addr(4, i%200, 1024+i), Slots: slots, Started: 1}
		d.must(d.store.PutInstance(in))
	}
}

// replaceTargets replaces the target of every node repeatedly for a period.
func (d *deployment) replaceTargets(period time.Duration) {
	var wg sync.WaitGroup
	for i, v := range d.vms {
		r := rand.New(rand.NewPCG(replacementSeed, uint64(i)))
		wg.Go(func() {
			for until := time.Now().Add(period); time.Now().Before(until); time.Sleep(randomMillis(r, 100, 900)) {
				replaceInstance(d, v, r)
			}
		})
	}
	wg.Wait()
}

// silentNodes describes the nodes that do not respond to a request.
func (d *deployment) silentNodes() []string {
	var silent []string
	for _, v := range d.vms {
		if _, err := d.requestStatus(v, "/read/"); err != nil {
			silent = append(silent, fmt.Sprintf("node-%d: %v; its log ends with %s", v.n, err, d.logTail(v)))
		}
	}
	return silent
}
