package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/directory"
)

// fault injects one fault, which lasts until the function returns.
type fault func(d *deployment, v *vm, r *rand.Rand)

// faults are drawn with equal probability; an entry listed twice counts twice.
var faults = []fault{restartNode, killNode, pauseNode, sendSIGHUP, replaceInstance, drainInstance,
	disruptPeers, disruptPeers, disruptStore, resetConnections, compactStore, publishRoutes,
	removeLiveEntry, removeLiveEntry, removeWithoutDrain, restartTarget, writeForeignEntries}

// injectFaults injects random faults for a period, some of them concurrently,
// and waits until the last one is over.
func (d *deployment) injectFaults(seed uint64, period time.Duration) {
	r := rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	// Separate generators keep the faults drawn for a seed independent of the
	// poison requests, the statements of targets and the restores of the store.
	poisonRand := rand.New(rand.NewPCG(seed, 1))
	wg.Go(func() { sendPoisonRequests(d, poisonRand, period) })
	statesRand := rand.New(rand.NewPCG(seed, 3))
	wg.Go(func() { makeTargetsState(d, statesRand, period) })
	restoreRand := rand.New(rand.NewPCG(seed, 2))
	wg.Go(func() { restoreStore(d, restoreRand, period) })
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 50, 400)) {
		f, v := faults[r.IntN(len(faults))], d.vms[r.IntN(len(d.vms))]
		faultRand := rand.New(rand.NewPCG(r.Uint64(), 0))
		wg.Go(func() { f(d, v, faultRand) })
	}
	wg.Wait()
}

// randomMillis returns a random duration of lo to hi-1 milliseconds.
func randomMillis(r *rand.Rand, lo, hi int) time.Duration {
	return time.Duration(lo+r.IntN(hi-lo)) * time.Millisecond
}

func restartNode(d *deployment, v *vm, _ *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	v.outages.start()
	v.cmd.Process.Signal(syscall.SIGTERM)
	d.waitNode(v, shutdownGrace+shutdownSlack)
	d.startNode(v)
	v.outages.finish()
}

func killNode(d *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	v.disruptions.start()
	v.outages.start()
	v.cmd.Process.Kill()
	v.cmd.Wait()
	time.Sleep(randomMillis(r, 0, 800))
	d.startNode(v)
	v.disruptions.finish()
	v.outages.finish()
}

func pauseNode(_ *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	v.disruptions.start()
	v.outages.start()
	v.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(randomMillis(r, 100, 1500))
	v.cmd.Process.Signal(syscall.SIGCONT)
	v.disruptions.finish()
	v.outages.finish()
}

// sendSIGHUP sends SIGHUP to a node that has been up for at least a second, so
// that its signal handler is installed.
func sendSIGHUP(_ *deployment, v *vm, _ *rand.Rand) {
	if !v.faultMu.TryLock() {
		return
	}
	defer v.faultMu.Unlock()
	time.Sleep(time.Second)
	v.cmd.Process.Signal(syscall.SIGHUP)
}

func replaceInstance(d *deployment, v *vm, _ *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	d.replaceTarget(v)
}

// drainInstance marks an instance as leaving for a while.
func drainInstance(d *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	in := v.instance
	in.Leaving = true
	d.must(d.store.PutInstance(in))
	time.Sleep(randomMillis(r, 200, 1500))
	d.must(d.store.PutInstance(v.instance))
}

// removeLiveEntry cuts a VM off from the store and removes the entry of its
// instance while that is alive, then undoes both.
func removeLiveEntry(d *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	v.storeProxy.SetMode(DropAll)
	time.Sleep(randomMillis(r, 0, 300))
	d.store.RemoveInstance(v.instance.ID)
	time.Sleep(randomMillis(r, 300, 2500))
	v.storeProxy.SetMode(Pass)
	time.Sleep(randomMillis(r, 0, 1500))
	d.must(d.store.PutInstance(v.instance))
}

// removeWithoutDrain removes the entry of an instance without marking it as
// leaving before. The instance serves requests for at least 2 s more and is then
// replaced.
func removeWithoutDrain(d *deployment, v *vm, r *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	v.target.FailHealthChecks()
	d.store.RemoveInstance(v.instance.ID)
	time.Sleep(randomMillis(r, 2000, 2600))
	d.replaceTarget(v)
}

// restartTarget restarts an instance under the same ID.
func restartTarget(d *deployment, v *vm, _ *rand.Rand) {
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	d.startTarget(v, string(v.instance.ID))
}

// foreignEntry returns an entry of another program that looks like that of an instance.
func foreignEntry(addr, service, slots string) string {
	return `{"Address":"` + addr + `","Info":{"Service":"` + service + `","Version":"v1","Zone":"nord","Slots":` + slots +
		`},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}}`
}

// writeForeignEntries adds entries of another program to those of the instances.
func writeForeignEntries(d *deployment, v *vm, r *rand.Rand) {
	for i, text := range []string{"\xff", `{"Address":"` + v.instance.Addr + `"}`, foreignEntry(v.instance.Addr, "nobody", "1")} {
		d.store.PutRawEntry(directory.InstanceID(fmt.Sprintf("foreign-%d-%d", r.IntN(5), i)), text)
	}
	host, _, _ := strings.Cut(v.instance.Addr, ":")
	for i, text := range []string{strings.Repeat("[", 20000), foreignEntry(host+":99999", v.instance.Service, "1"),
		foreignEntry(":http", v.instance.Service, "1"), foreignEntry(host+":1", v.instance.Service, "9223372036854775807")} {
		d.store.PutRawEntry(directory.InstanceID(fmt.Sprint("odd-", i)), text)
	}
}

// sendPoisonRequests sends the same poison request to random nodes for a period.
func sendPoisonRequests(d *deployment, r *rand.Rand, period time.Duration) {
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 0, 1000)) {
		d.sendPoison(d.vms[r.IntN(len(d.vms))])
	}
}

func disruptPeers(_ *deployment, v *vm, r *rand.Rand) { disruptLink(v.peerProxy, r) }
func disruptStore(_ *deployment, v *vm, r *rand.Rand) { disruptLink(v.storeProxy, r) }

// disruptLink puts a proxy in a random mode other than Pass for a while.
func disruptLink(p *Proxy, r *rand.Rand) {
	p.SetMode(Mode(r.IntN(int(lastMode)) + 1))
	time.Sleep(randomMillis(r, 100, 2500))
	p.SetMode(Pass)
}

func resetConnections(_ *deployment, v *vm, _ *rand.Rand) {
	v.peerProxy.Reset()
	v.storeProxy.Reset()
}

func compactStore(d *deployment, _ *vm, _ *rand.Rand)  { d.store.Compact() }
func publishRoutes(d *deployment, _ *vm, _ *rand.Rand) { d.publishRoutes() }
