package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	seedFlag    = flag.Uint64("soak.seed", 0, "seed of the first run; 0 for 1")
	seedsFlag   = flag.Int("soak.seeds", 1, "how many seeds to run, one after the other")
	secondsFlag = flag.Duration("soak.time", 6*time.Second, "how long faults are injected in a run")

	// failedSeeds are seeds that failed once, each with its cause.
	failedSeeds = []uint64{
		1, // a stopping node took reads until after its last answer, for a grace of 3 s
	}
)

const (
	// healTime is how long the deployment has after the last fault: a frozen
	// or silent connection is closed within 2.5 s and a node is back within
	// one, beside other work on the machine.
	healTime = 5 * time.Second
	// calmTime is how long callers are watched after that.
	calmTime = 1500 * time.Millisecond
	// calmServed is the part of the requests that is served by then. The rest
	// is room for a busy machine.
	calmServed = 0.9
	// comings is how often a fatal request comes again in the end, and
	// furtherEnds how many targets it may end then, if it has ended three
	// before.
	comings     = 12
	furtherEnds = 3
)

// Editors and release managers use every node while processes are stopped,
// killed, paused and restarted, links are slow, reset, silent or cut one way,
// the store is cut off and forgets, instances are replaced, and the routes
// change: any of these at any moment, together. A publication must not run
// twice, nothing that was refused may have run, nobody gets another's answer
// or a part of his own, a planned stop cuts nothing, and afterwards all is
// served again. One request ends each instance that runs it, wherever it comes:
// few more run it after the third.
func TestTheDeploymentKeepsItsPromisesUnderFaults(t *testing.T) {
	bin := build(t)
	seeds := append([]uint64{}, failedSeeds...)
	first := max(*seedFlag, 1)
	for i := range *seedsFlag {
		seeds = append(seeds, first+uint64(i))
	}
	for _, seed := range seeds {
		Convey(fmt.Sprintf("Seed %d", seed), t, func() {
			d := start(t, bin, seed)
			defer d.stop()
			d.awaitServing(10 * time.Second)
			d.inject(seed, *secondsFlag)
			time.Sleep(healTime)
			calm := d.served(calmTime)
			further := d.comeAgain()
			d.endCallers()
			d.crashed.Wait()
			So(d.violations(), ShouldBeEmpty)
			So(calm, ShouldBeGreaterThan, calmServed)
			So(further, ShouldBeLessThanOrEqualTo, furtherEnds)
			t.Logf("seed %d: %s; %d targets ended by the fatal request, %d of them in the end", seed, d.summary(), d.ended(), further)
		})
	}
}

// comeAgain sends the fatal request at one node after the other when all is
// calm, and returns how many targets it ended beyond the third.
func (d *deployment) comeAgain() int {
	before := max(d.ended(), 3)
	for i := range comings {
		d.sendFatal(d.vms[i%len(d.vms)])
		time.Sleep(crashTime)
	}
	return max(d.ended()-before, 0)
}
