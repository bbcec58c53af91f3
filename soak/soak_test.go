package soak

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var (
	seedFlag     = flag.Uint64("soak.seed", 0, "seed of the first run; 0 means 1")
	seedsFlag    = flag.Int("soak.seeds", 1, "number of consecutive seeds to run")
	durationFlag = flag.Duration("soak.time", 6*time.Second, "how long a run injects faults")

	// regressionSeeds are seeds that failed before, each with the cause.
	regressionSeeds = []uint64{
		1,   // a stopping node accepted reads after its last response
		13,  // a restarted node took a malformed rate limit for none
		409, // an instance restarted under its ID was taken for the run that left
	}
)

const (
	// recoveryTime is how long the deployment may take to recover after the
	// last fault. Nodes close unresponsive connections within 2.5 s and restart
	// within 1 s; the rest allows for a slow machine.
	recoveryTime = 5 * time.Second
	// observationTime is how long the success rate is measured after that.
	observationTime = 1500 * time.Millisecond
	// minSuccessRate is below 1 to allow for a slow machine.
	minSuccessRate = 0.9
	// poisonRequests is how often the poison request is sent after recovery,
	// and maxFurtherCrashes how many targets it may crash then, beyond three in
	// the whole run.
	poisonRequests    = 12
	maxFurtherCrashes = 3
	// firstSeries is the stream of random numbers of the first further series.
	firstSeries = 16
)

// Guards against duplicate execution of non-idempotent requests, execution of
// refused ones, wrong or truncated responses, connections lost in planned stops
// and a failure to recover after concurrent faults. Also guards against a poison
// request that keeps crashing instances, against changes that some nodes do not
// learn of after the store was restored from a backup, and against requests that
// targets get beyond the rate limits that they state or after they state that
// they leave.
func TestInvariantsUnderFaults(t *testing.T) {
	bin := buildBinary(t)
	for _, seed := range seedsToRun(regressionSeeds) {
		checkInvariants(t, bin, seed, *durationFlag)
	}
}

// seedsToRun returns the seeds that failed before and those of the flags.
func seedsToRun(failed []uint64) []uint64 {
	seeds := append([]uint64{}, failed...)
	first := max(*seedFlag, 1)
	for i := range *seedsFlag {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}

// Guards against a node that gives no response to any request because a check of
// its instance and a change of its directory wait for each other.
func TestSeedWithUnansweredRequest(t *testing.T) {
	checkInvariants(t, buildBinary(t), 347, 10*time.Second)
}

// Guards against an instance that gets no requests because of the failures of the
// one before it, whose entry was gone for a moment.
func TestSeedWithUnusedInstance(t *testing.T) {
	checkInvariants(t, buildBinary(t), 465, 10*time.Second)
}

// Guards against requests to an instance that states that it leaves right after it
// was restarted under its ID, before the restart is listed.
func TestSeedWithLeavingOfUnlistedRun(t *testing.T) {
	checkInvariants(t, buildBinary(t), 487, 10*time.Second)
}

// checkInvariants runs one seed with faults for a period and checks what callers
// and targets observed.
func checkInvariants(t *testing.T, bin string, seed uint64, period time.Duration) {
	Convey(fmt.Sprintf("Seed %d", seed), t, func() {
		withDeployment(t, startDeployment(t, bin, seed), func(d *deployment) {
			d.checkUnderFaults(seed, period)
		})
	})
}

// checkUnderFaults injects faults for a period and checks what callers and targets
// observed. Each of series runs beside them.
func (d *deployment) checkUnderFaults(seed uint64, period time.Duration, series ...func(*rand.Rand, time.Duration)) {
	var wg sync.WaitGroup
	for i, f := range series {
		wg.Go(func() { f(rand.New(rand.NewPCG(seed, firstSeries+uint64(i))), period) })
	}
	d.injectFaults(seed, period)
	wg.Wait()
	time.Sleep(recoveryTime)
	recovered := time.Now()
	successRate := d.successRate(observationTime)
	unused := d.unusedTargets(recovered)
	behind := d.nodesBehind()
	unheard := d.changesLostInRestore()
	furtherCrashes := d.sendPoisonAfterRecovery()
	d.stopCallers()
	d.restarts.Wait()
	So(behind, ShouldBeEmpty)
	So(unheard, ShouldBeEmpty)
	So(unused, ShouldBeEmpty)
	So(d.violations(), ShouldBeEmpty)
	So(successRate, ShouldBeGreaterThan, minSuccessRate)
	So(furtherCrashes, ShouldBeLessThanOrEqualTo, maxFurtherCrashes)
	d.t.Logf("seed %d: %s; %d targets crashed by the poison request, %d of them after recovery", seed, d.statusCounts(), d.crashCount(), furtherCrashes)
}

// withDeployment calls f once the deployment serves, and stops it. If f does not
// return, because a check failed, the nodes write their goroutines and the logs are
// kept.
func withDeployment(t *testing.T, d *deployment, f func(*deployment)) {
	passed := false
	defer func() { d.keepLogsUnless(passed) }()
	defer d.stop()
	defer func() {
		if !passed {
			d.dumpGoroutines(d.vms...)
		}
	}()
	d.waitServing(10 * time.Second)
	f(d)
	passed = true
}

// sendPoisonAfterRecovery sends the poison request to the nodes in turn and
// returns how many targets it crashed, not counting the first three of the run.
func (d *deployment) sendPoisonAfterRecovery() int {
	before := max(d.crashCount(), 3)
	for i := range poisonRequests {
		d.sendPoison(d.vms[i%len(d.vms)])
		time.Sleep(restartDelay)
	}
	return max(d.crashCount()-before, 0)
}
