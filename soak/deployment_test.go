package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
)

const (
	// grace is how long a stopping node may go on, as its settings say.
	grace = 3 * time.Second
	// endSlack is how much longer its end may take on a busy machine.
	endSlack = 3 * time.Second
	slots    = 20
	// crashTime is how long a target that crashed is gone.
	crashTime = 400 * time.Millisecond
)

type (
	// deployment is a store, and nodes with a target each.
	deployment struct {
		t     *testing.T
		bin   string
		dir   string
		ports struct{ peer, target, callers, ready, metrics, store int }
		store *platform.StandIn
		srv   *http.Server
		vms   []*vm
		*callers

		mu      sync.Mutex
		version callgraph.Version
		late    []string // nodes that did not end within their grace
		ids     int
		fatal   int            // targets that a fatal request ended
		crashed sync.WaitGroup // those that are not back yet
	}

	// vm is one node process, the target beside it, and the ways to them.
	vm struct {
		n         int
		service   string
		dc        callgraph.DC
		fault     sync.Mutex // held while a fault is on its process or target
		cmd       *exec.Cmd
		peers     *Proxy // from other nodes
		toStore   *Proxy
		instance  directory.Instance
		target    *Target
		former    []*Target
		unplanned *spans // kills and pauses of the process
	}
)

// build builds the program under test.
func build(t *testing.T) string {
	bin := filepath.Join(t.TempDir(), "oatpin")
	if out, err := exec.Command("go", "build", "-o", bin, "../cmd/oatpin").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return bin
}

// start runs six nodes of two services in two data centres.
func start(t *testing.T, bin string, seed uint64) *deployment {
	d := &deployment{t: t, bin: bin, dir: t.TempDir(), store: platform.NewStandIn()}
	d.store.Services = []directory.Service{{Name: "archiv", HealthPath: healthPath}, {Name: "versand", HealthPath: healthPath}}
	for _, p := range []*int{&d.ports.peer, &d.ports.target, &d.ports.callers, &d.ports.ready, &d.ports.metrics, &d.ports.store} {
		*p = freePort(t)
	}
	l, err := net.Listen("tcp", addr(0, 0, d.ports.store))
	d.must(err)
	d.srv = &http.Server{Handler: d.store}
	go d.srv.Serve(l)
	d.changeRoutes()
	for n := range 6 {
		v := &vm{n: n + 1, service: []string{"archiv", "versand"}[n%2], dc: callgraph.DC([]string{"nord", "sued"}[n/3]), unplanned: &spans{}}
		v.peers, err = NewProxy(addr(1, v.n, d.ports.peer), addr(2, v.n, d.ports.peer))
		d.must(err)
		v.toStore, err = NewProxy(addr(3, v.n, d.ports.store), l.Addr().String())
		d.must(err)
		d.replaceTarget(v)
		d.run(v)
		d.vms = append(d.vms, v)
	}
	d.callers = startCallers(d, seed)
	return d
}

// addr is an address on one of the deployment's networks: 0 the store's, 1
// the one at which nodes and targets are known to each other, 2 the nodes'
// own, 3 the ways to the store.
func addr(network, n, port int) string {
	return fmt.Sprintf("127.0.%d.%d:%d", 40+network, n+1, port)
}

func (d *deployment) must(err error) {
	if err != nil {
		d.t.Fatal(err)
	}
}

// freePort returns a port below the range from which the kernel takes ports
// for connections.
func freePort(t *testing.T) int {
	for range 1000 {
		port := 21000 + rand.IntN(10000)
		l, err := net.Listen("tcp", ":"+strconv.Itoa(port))
		if err == nil {
			l.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

// run starts a node's process.
func (d *deployment) run(v *vm) {
	text := fmt.Sprintf("[sidecar]\nname=node-%d\ndc=%s\nservice=%s\ntarget=%s\ncallers=%s\npeer=%s\nready=%s\nmetrics=%s\nstore=%s\nmemory_mb=128\ngrace=%s\n",
		v.n, v.dc, v.service, v.instance.Addr, d.callersAddr(v), addr(2, v.n, d.ports.peer), addr(2, v.n, d.ports.ready),
		addr(2, v.n, d.ports.metrics), addr(3, v.n, d.ports.store), grace)
	path := filepath.Join(d.dir, fmt.Sprintf("node-%d.ini", v.n))
	d.must(os.WriteFile(path, []byte(text), 0o644))
	logs, err := os.OpenFile(filepath.Join(d.dir, fmt.Sprintf("node-%d.jsonl", v.n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	d.must(err)
	defer logs.Close()
	v.cmd = exec.Command(d.bin, "sidecar", "-s", path)
	v.cmd.Stdout, v.cmd.Stderr = logs, logs
	d.must(v.cmd.Start())
}

func (d *deployment) callersAddr(v *vm) string { return addr(2, v.n, d.ports.callers) }

// replaceTarget ends the target beside a node, if there is one, and starts
// another instance at its address, which the store lists instead.
func (d *deployment) replaceTarget(v *vm) {
	if v.target != nil {
		d.store.RemoveInstance(v.instance.ID)
	}
	d.mu.Lock()
	d.ids++
	id := fmt.Sprintf("i-%d", d.ids)
	d.mu.Unlock()
	d.startTarget(v, id)
}

// startTarget ends the target beside a node, if there is one, and starts the
// next at its address, under its own id or another.
func (d *deployment) startTarget(v *vm, id string) {
	if v.target != nil {
		v.target.Close()
		v.former = append(v.former, v.target)
	}
	v.instance = directory.Instance{ID: directory.InstanceID(id), Service: v.service, DC: v.dc, Addr: addr(1, v.n, d.ports.target), Slots: slots, Started: directory.UnixMilli(time.Now().UnixMilli())}
	var err error
	v.target, err = NewTarget(id, v.instance.Addr, platform.Headers)
	d.must(err)
	t := v.target
	t.SetOnFatal(sync.OnceFunc(func() { d.crash(v, t) }))
	d.must(d.store.PutInstance(v.instance))
}

// crash ends a target at once; another is in its place a while later.
func (d *deployment) crash(v *vm, t *Target) {
	d.mu.Lock()
	d.fatal++
	d.mu.Unlock()
	t.Close()
	d.crashed.Go(func() {
		time.Sleep(crashTime)
		v.fault.Lock()
		defer v.fault.Unlock()
		if v.target == t {
			d.replaceTarget(v)
		}
	})
}

// ended returns how many targets a fatal request has ended.
func (d *deployment) ended() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fatal
}

// changeRoutes publishes the next version of the routes.
func (d *deployment) changeRoutes() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	timeout := time.Second + time.Duration(d.version%3)*100*time.Millisecond
	rt := func(name, service string, idempotent bool, priority int) directory.Route {
		return directory.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: idempotent, MaxInstances: maxInstances, Timeout: timeout,
			TargetLatency: 300 * time.Millisecond, Priority: priority, Shares: []directory.Share{{Service: service, Weight: 1}}}
	}
	d.must(d.store.PutRoutes(d.version, directory.Limits{BodyBytes: 1 << 16, IdleTimeout: 15 * time.Second},
		[]directory.Route{rt("read", "archiv", true, 2), rt("publish", "versand", false, 0)}))
}

// runs returns how often a request ran at all targets there ever were.
func (d *deployment) runs(id string) int {
	n := 0
	for _, v := range d.vms {
		n += v.target.Runs(id)
		for _, t := range v.former {
			n += t.Runs(id)
		}
	}
	return n
}

// end waits for a node's process to end, and kills it if it does not.
func (d *deployment) end(v *vm, within time.Duration) {
	done := make(chan struct{})
	go func() { v.cmd.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(within):
		d.mu.Lock()
		d.late = append(d.late, fmt.Sprintf("node-%d did not end within %s of SIGTERM", v.n, within))
		d.mu.Unlock()
		v.cmd.Process.Kill()
		<-done
	}
}

// stop ends everything that the deployment started.
func (d *deployment) stop() {
	d.endCallers()
	for _, v := range d.vms {
		v.cmd.Process.Signal(syscall.SIGKILL)
		v.cmd.Wait()
		v.peers.Close()
		v.toStore.Close()
		v.target.Close()
	}
	d.srv.Close()
}
