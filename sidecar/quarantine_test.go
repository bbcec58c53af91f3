package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/quarantine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	poisonPath = "/read/fatal"
	// crashAfter is the time from the start of a poison request to the crash.
	crashAfter = 20 * time.Millisecond
	// restartAfter is the time from a crash until the target listens again.
	restartAfter = 300 * time.Millisecond
	// propagationLimit is the time after the third crash within which all
	// nodes must know of it, and maxFurtherRuns the number of instances that
	// may execute the request after that.
	propagationLimit = 3 * time.Second
	maxFurtherRuns   = 3
)

// crashMesh is a mesh in which the targets of one service crash on requests
// with a poison path and restart with a new instance id.
type crashMesh struct {
	*mesh
	crashing []*vm

	mu       sync.Mutex
	crashes  []time.Time // time of each
	revision directory.Revision
	restarts sync.WaitGroup
}

// newCrashMesh starts one node with a stable target and n nodes with targets
// that crash.
func newCrashMesh(t *testing.T, n int) *crashMesh {
	services := []string{"versand"}
	for range n {
		services = append(services, "archiv")
	}
	m := &mesh{t: t, port: freePort(t), source: failingSource{}}
	f := &crashMesh{mesh: m.populate(services), revision: 100}
	f.crashing = f.vms[1:]
	for _, v := range f.crashing {
		f.crashOnPoison(v)
	}
	t.Cleanup(f.restarts.Wait)
	return f
}

// crashOnPoison makes v's target crash on poison requests. Other requests take
// some time and fail if the target crashes.
func (f *crashMesh) crashOnPoison(v *vm) {
	target := v.target
	target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "fatal") {
			time.Sleep(crashAfter)
			f.crashTarget(v, target)
			return
		}
		time.Sleep(2 * crashAfter)
		writeSigned(w, r, http.StatusOK, "answer")
	})
}

// crashTarget stops v's target, unless it has already been replaced, and
// schedules its restart at the same address.
func (f *crashMesh) crashTarget(v *vm, target *fakeTarget) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if v.target != target {
		return
	}
	v.stopTarget()
	f.crashes = append(f.crashes, time.Now())
	next := &fakeTarget{id: fmt.Sprintf("i-%s-%d", v.ip, len(f.crashes)), runsByID: map[string]int{}}
	v.target = next
	f.restarts.Go(func() {
		time.Sleep(restartAfter)
		f.restartTarget(v)
	})
}

func (f *crashMesh) restartTarget(v *vm) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, err := net.Listen("tcp", v.self.Addr)
	if err != nil {
		f.t.Error(err)
		return
	}
	f.crashOnPoison(v)
	v.startTarget(l)
	old := v.self.ID
	f.revision++
	v.self.ID, v.self.Revision, v.self.FirstRevision = directory.InstanceID(v.target.id), f.revision, f.revision
	in := v.self
	for _, o := range f.vms {
		o.dir.Apply([]directory.Change{{Removed: old, RemovedAt: f.revision}, {Instance: &in}}, f.revision)
	}
}

func (f *crashMesh) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// sendTo sends a request to the i-th node, modulo the number of nodes.
func (f *crashMesh) sendTo(path string, i int) reply {
	_, got := f.get(f.vms[i%len(f.vms)], path)
	return got
}

// awaitRestarts waits until all targets are back.
func (f *crashMesh) awaitRestarts() { f.restarts.Wait(); time.Sleep(50 * time.Millisecond) }

// A request that crashes every instance executing it, sent repeatedly to any
// node with a new id each time, must be stopped after a few crashes.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newCrashMesh(t, 5)
	Convey("After the third crash few instances execute it, for read and publish requests", t, func() {
		for _, path := range []string{poisonPath, "/publish/fatal"} {
			before := f.crashCount()
			for i := 0; f.crashCount() < before+3 && i < 20; i++ {
				f.sendTo(path, i)
				time.Sleep(100 * time.Millisecond)
			}
			So(f.crashCount(), ShouldBeGreaterThanOrEqualTo, before+3)
			time.Sleep(propagationLimit)
			known := f.crashCount()
			for i := range 12 {
				got := f.sendTo(path, i)
				So(got.err, ShouldBeNil)
				So(got.code, ShouldNotEqual, http.StatusOK)
			}
			So(f.crashCount()-known, ShouldBeLessThanOrEqualTo, maxFurtherRuns)
		}
	})
}

// Requests that were in progress when an instance crashed must be served when
// they are sent again, even if they were running during every crash.
func TestRequestsRunningDuringCrashAreServed(t *testing.T) {
	f := newCrashMesh(t, 5)
	Convey("Concurrent requests are served when they are sent again", t, func() {
		var concurrent []string
		for i := 0; f.crashCount() < 3 && i < 20; i++ {
			var wg sync.WaitGroup
			for j, v := range f.vms {
				path := fmt.Sprintf("/read/beside-%d-%d", i, j)
				concurrent = append(concurrent, path)
				wg.Go(func() { f.get(v, path) })
				wg.Go(func() { f.get(v, "/read/beside-all") })
			}
			time.Sleep(crashAfter / 2)
			f.sendTo(poisonPath, i)
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		So(f.crashCount(), ShouldBeGreaterThanOrEqualTo, 3)
		f.awaitRestarts()
		for _, path := range append(concurrent, "/read/beside-all") {
			_, got := f.get(f.vms[0], path)
			So(path+" "+http.StatusText(got.code), ShouldEqual, path+" OK")
		}
	})
}

// All nodes must learn of a suspect request, including one that starts later.
func TestNodesShareSuspectRequests(t *testing.T) {
	f := newCrashMesh(t, 5)
	knows := func(v *vm) bool {
		qs := quarantineStateAt(v.node, poisonPath)
		return v.node.stage(qs) >= quarantine.Suspect
	}
	Convey("All nodes know within a second, and so does a new node", t, func() {
		f.sendTo(poisonPath, 0)
		So(f.crashCount(), ShouldBeGreaterThan, 0)
		deadline := time.Now().Add(time.Second)
		for _, v := range f.vms {
			for !knows(v) && time.Now().Before(deadline) {
				time.Sleep(10 * time.Millisecond)
			}
			So(v.ip+" "+strconv.FormatBool(knows(v)), ShouldEqual, v.ip+" true")
		}
		f.awaitRestarts() // they go through vms
		f.seeds = []string{f.vms[1].node.cfg.ControlAddr}
		v := f.mesh.startVM("127.0.0.40", "archiv")
		f.vms = append(f.vms, v)
		deadline = time.Now().Add(2 * time.Second)
		for !knows(v) && time.Now().Before(deadline) {
			time.Sleep(10 * time.Millisecond)
		}
		So(knows(v), ShouldBeTrue)
	})
}

// quarantineStateAt returns the quarantine state of a GET request at a node.
func quarantineStateAt(n *Node, path string) quarantineState {
	return n.quarantineStateOf(&call.Request{HTTP: &call.HTTPRequest{Method: http.MethodGet, Host: "h", URI: path, Caller: n.cfg.Service}})
}

// A quarantined request must be refused at every node without being executed,
// with the remaining quarantine as Retry-After. Requests that differ in any
// part must be served.
func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("503 with the remaining quarantine as Retry-After at every node; other requests are served", t, func() {
		qs := quarantineStateAt(m.vms[0].node, "/read/fatal")
		for i, c := range []quarantine.Caller{"versand", "versand", "archiv"} {
			m.vms[1].node.quarantine.RecordExit(qs.fingerprint, quarantine.Exit{ID: quarantine.ExitID(i + 1), Caller: c, Isolated: i == 2})
		}
		m.vms[1].node.queueReport(qs.fingerprint)
		time.Sleep(300 * time.Millisecond)
		for _, v := range m.vms {
			began := time.Now()
			id, got := m.get(v, "/read/fatal")
			So(got.code, ShouldEqual, http.StatusServiceUnavailable)
			So(time.Since(began), ShouldBeLessThan, 100*time.Millisecond)
			after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(after, ShouldBeBetween, quarantine.Term.Seconds()-2, quarantine.Term.Seconds()+0.1)
			So(m.vms[1].target.runCount(id)+m.vms[2].target.runCount(id), ShouldEqual, 0)
		}
		for _, c := range []struct{ method, path, body string }{{http.MethodGet, "/read/other", ""}, {http.MethodGet, "/read/fatal?x", ""}, {http.MethodPost, "/read/fatal", "n"}} {
			_, got := m.send(context.Background(), m.vms[0], c.method, c.path, c.body, nil)
			So(got.code, ShouldEqual, http.StatusOK)
		}
	})
}

// During an upgrade a node of the previous version sends a deltaRequest
// without the last field. It must be answered, with its long-poll wait, and
// without quarantine records, which the old version cannot decode.
func TestShorterDeltaRequestIsAnswered(t *testing.T) {
	m := newMesh(t, "archiv")
	n := m.vms[0].node
	Convey("A deltaRequest with one field less is answered", t, func() {
		n.quarantine.RecordExit(1, quarantine.Exit{ID: 1, Caller: "archiv"})
		body, err := msgpack.Marshal([]any{n.dir.Revision(), 200 * time.Millisecond})
		So(err, ShouldBeNil)
		began := time.Now()
		a := n.servePeer(context.Background(), call.Request{ID: "q", Operation: sinceOperation, Body: body})
		So(a.Status, ShouldEqual, call.OK)
		So(time.Since(began), ShouldBeGreaterThan, 190*time.Millisecond)
		So(a.Piggyback, ShouldBeEmpty)
	})
}
