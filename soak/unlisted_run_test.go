package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// unlistedRunTime is how long targets are restarted.
const unlistedRunTime = 20 * time.Second

// Guards against what an instance states right after it was restarted under its
// ID being forgotten when the restart is listed, or taken for a word of another
// run, also where nodes restart in between.
func TestStatementsOfUnlistedRunsHold(t *testing.T) {
	bin := buildBinary(t)
	for _, seed := range seedsToRun(nil) {
		Convey(fmt.Sprintf("No target gets requests against what it stated before it was listed, seed %d", seed), t, func() {
			withDeployment(t, startDeployment(t, bin, seed), func(d *deployment) {
				d.restartTargetsUnlisted(seed, unlistedRunTime)
				time.Sleep(recoveryTime)
				d.stopCallers()
				d.restarts.Wait()
				So(d.violations(), ShouldBeEmpty)
				t.Logf("seed %d: %s", seed, d.statusCounts())
			})
		})
	}
}

// restartTargetsUnlisted restarts the targets of all nodes repeatedly for a period,
// and now and then a node.
func (d *deployment) restartTargetsUnlisted(seed uint64, period time.Duration) {
	var wg sync.WaitGroup
	until := time.Now().Add(period)
	for i, v := range d.vms {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		wg.Go(func() {
			for time.Now().Before(until) {
				restartUnlisted(d, v, r)
			}
		})
	}
	wg.Wait()
}

// restartUnlisted restarts an instance under its ID. The next run states something
// at once, and its entry is written some time later. Once it has left, one that
// states nothing follows.
func restartUnlisted(d *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	d.startUnlistedTarget(v, string(v.instance.ID))
	leaving := r.IntN(2) == 0
	if leaving {
		v.target.SetLeaving()
	} else {
		v.target.SetRateLimit(rateLimitTexts[r.IntN(len(rateLimitTexts))])
	}
	v.faultMu.Unlock()
	if r.IntN(3) == 0 {
		time.Sleep(randomMillis(r, 100, 500))
		killNode(d, v, r)
	}
	time.Sleep(randomMillis(r, 2000, 3500))
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	d.must(d.store.PutInstance(v.instance))
	time.Sleep(randomMillis(r, 300, 1500))
	if leaving {
		d.startTarget(v, string(v.instance.ID))
		time.Sleep(randomMillis(r, 300, 800))
	}
}
