package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/directory"
)

// fault is one kind of trouble; it lasts until the function returns.
type fault func(d *deployment, v *vm, r *rand.Rand)

// faults are drawn with equal chance.
var faults = []fault{stopAndStart, killAndStart, pause, hangUp, newTarget, drain,
	cutPeers, cutPeers, cutStore, resetLinks, forget, changeRoutes,
	lapse, lapse, leaveSilently, startAgain, writeForeign}

// inject draws faults for a time, on any node and several at once, and waits
// until the last one is over.
func (d *deployment) inject(seed uint64, d0 time.Duration) {
	r := rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	// A stream of its own, so that seeds draw the same faults with and without.
	fatal := rand.New(rand.NewPCG(seed, 1))
	wg.Go(func() { comeFatal(d, fatal, d0) })
	for until := time.Now().Add(d0); time.Now().Before(until); time.Sleep(between(r, 50, 400)) {
		f, v := faults[r.IntN(len(faults))], d.vms[r.IntN(len(d.vms))]
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		wg.Go(func() { f(d, v, own) })
	}
	wg.Wait()
}

// between draws a time in milliseconds.
func between(r *rand.Rand, least, most int) time.Duration {
	return time.Duration(least+r.IntN(most-least)) * time.Millisecond
}

func stopAndStart(d *deployment, v *vm, _ *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.cmd.Process.Signal(syscall.SIGTERM)
	d.end(v, grace+endSlack)
	d.run(v)
}

func killAndStart(d *deployment, v *vm, r *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.unplanned.begin()
	v.cmd.Process.Kill()
	v.cmd.Wait()
	time.Sleep(between(r, 0, 800))
	d.run(v)
	v.unplanned.end()
}

func pause(_ *deployment, v *vm, r *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.unplanned.begin()
	v.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(between(r, 100, 1500))
	v.cmd.Process.Signal(syscall.SIGCONT)
	v.unplanned.end()
}

// hangUp overlaps with other faults: a signal may come at any moment after
// the process has set itself up for it.
func hangUp(_ *deployment, v *vm, _ *rand.Rand) {
	if !v.fault.TryLock() {
		return
	}
	defer v.fault.Unlock()
	time.Sleep(time.Second)
	v.cmd.Process.Signal(syscall.SIGHUP)
}

func newTarget(d *deployment, v *vm, _ *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	d.replaceTarget(v)
}

// drain announces that an instance leaves and takes that back.
func drain(d *deployment, v *vm, r *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	in := v.instance
	in.Leaving = true
	d.must(d.store.PutInstance(in))
	time.Sleep(between(r, 200, 1500))
	d.must(d.store.PutInstance(v.instance))
}

// lapse cuts a VM off from the store until the entry of its instance, which
// lives, is taken off the list, and back.
func lapse(d *deployment, v *vm, r *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.toStore.Set(Unplug)
	time.Sleep(between(r, 0, 300))
	d.store.RemoveInstance(v.instance.ID)
	time.Sleep(between(r, 300, 2500))
	v.toStore.Set(Pass)
	time.Sleep(between(r, 0, 1500))
	d.must(d.store.PutInstance(v.instance))
}

// leaveSilently takes an instance's entry off without a word before; it
// serves for as long as it owes and ends.
func leaveSilently(d *deployment, v *vm, r *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	v.target.Leave()
	d.store.RemoveInstance(v.instance.ID)
	time.Sleep(between(r, 2000, 2600))
	d.replaceTarget(v)
}

// startAgain ends an instance and starts it under the id that it had.
func startAgain(d *deployment, v *vm, _ *rand.Rand) {
	v.fault.Lock()
	defer v.fault.Unlock()
	d.startTarget(v, string(v.instance.ID))
}

// writeForeign puts entries of another program beside the instances'.
func writeForeign(d *deployment, v *vm, r *rand.Rand) {
	for i, text := range []string{"\xff", `{"Address":"` + v.instance.Addr + `"}`, `{"Address":"` + v.instance.Addr +
		`","Info":{"Service":"nobody","Version":"v1","Zone":"nord","Slots":1},"Status":{"State":"ready","Seq":1,"ColdLeft":"0ms"}}`} {
		d.store.PutForeign(directory.InstanceID(fmt.Sprintf("foreign-%d-%d", r.IntN(5), i)), text)
	}
}

// comeFatal sends the same fatal request now and then, at nodes of any VMs.
func comeFatal(d *deployment, r *rand.Rand, d0 time.Duration) {
	for until := time.Now().Add(d0); time.Now().Before(until); time.Sleep(between(r, 0, 1000)) {
		d.sendFatal(d.vms[r.IntN(len(d.vms))])
	}
}

func cutPeers(_ *deployment, v *vm, r *rand.Rand) { cut(v.peers, r) }
func cutStore(_ *deployment, v *vm, r *rand.Rand) { cut(v.toStore, r) }

func cut(p *Proxy, r *rand.Rand) {
	p.Set(Mode(r.IntN(int(modeLast)) + 1))
	time.Sleep(between(r, 100, 2500))
	p.Set(Pass)
}

func resetLinks(_ *deployment, v *vm, _ *rand.Rand) {
	v.peers.Reset()
	v.toStore.Reset()
}

func forget(d *deployment, _ *vm, _ *rand.Rand)       { d.store.ForgetHistory() }
func changeRoutes(d *deployment, _ *vm, _ *rand.Rand) { d.changeRoutes() }
