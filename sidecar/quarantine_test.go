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
	fatalPath = "/read/fatal"
	// crashAfter is how long an instance works on what ends it.
	crashAfter = 20 * time.Millisecond
	// restartAfter is how long an instance is gone.
	restartAfter = 300 * time.Millisecond
	// knownAfter is the time after the third end in which all nodes are to
	// know of it, and furtherRuns how many instances may run the request then.
	propagationLimit = 3 * time.Second
	maxFurtherRuns   = 3
)

// frailMesh is a mesh whose targets of one service end when they run a request
// with a fatal path, and are back under another id.
type crashMesh struct {
	*mesh
	crashing []*vm

	mu       sync.Mutex
	crashes  []time.Time // of instances
	revision directory.Revision
	restarts sync.WaitGroup
}

// newFrailMesh starts one node beside a target that lives, and n beside others
// that do not.
func newCrashMesh(t *testing.T, n int) *crashMesh {
	services := []string{"versand"}
	for range n {
		services = append(services, "archiv")
	}
	m := &mesh{t: t, port: freePort(t), source: emptySource{}}
	f := &crashMesh{mesh: m.populate(services), revision: 100}
	f.crashing = f.vms[1:]
	for _, v := range f.crashing {
		f.crashOnFatal(v)
	}
	t.Cleanup(f.restarts.Wait)
	return f
}

// breakable lets v's target end when it begins to run a fatal request. Other
// requests take some time, and are cut when the target ends.
func (f *crashMesh) crashOnFatal(v *vm) {
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

// end ends v's target once, and starts another at its address.
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
	f.crashOnFatal(v)
	v.serve(l)
	old := v.self.ID
	f.revision++
	v.self.ID, v.self.Revision, v.self.Since = directory.InstanceID(v.target.id), f.revision, f.revision
	in := v.self
	for _, o := range f.vms {
		o.dir.Apply([]directory.Change{{Gone: old, GoneAt: f.revision}, {Instance: &in}}, f.revision)
	}
}

func (f *crashMesh) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// comeAgain sends the fatal request once at a node, whatever becomes of it.
func (f *crashMesh) sendTo(path string, i int) reply {
	_, got := f.get(f.vms[i%len(f.vms)], path)
	return got
}

// awaitAll waits until every instance is back.
func (f *crashMesh) awaitRestarts() { f.restarts.Wait(); time.Sleep(50 * time.Millisecond) }

// Users see one instance of a service after the other end, each seconds after
// its start. A caller sends one request again and again, to any node, and each
// instance that begins to run it ends. Nodes knew requests by their ids, which
// are new each time, and forgot them with their answers; ended instances and
// what they ran had to be put together from the logs of all nodes.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	f := newCrashMesh(t, 5)
	Convey("After the third end few instances run it, whatever node it comes to; the same with an action", t, func() {
		for _, path := range []string{fatalPath, "/publish/fatal"} {
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

// Requests are in progress at each instance that another request ends. They
// have done nothing: sent again, they are served, also those that were there
// every time.
func TestConcurrentRequestsAreNotQuarantined(t *testing.T) {
	f := newCrashMesh(t, 5)
	Convey("What was beside is served when it comes again", t, func() {
		var beside []string
		for i := 0; f.crashCount() < 3 && i < 20; i++ {
			var wg sync.WaitGroup
			for j, v := range f.vms {
				path := fmt.Sprintf("/read/beside-%d-%d", i, j)
				beside = append(beside, path)
				wg.Go(func() { f.get(v, path) })
				wg.Go(func() { f.get(v, "/read/beside-all") })
			}
			time.Sleep(crashAfter / 2)
			f.sendTo(fatalPath, i)
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		So(f.crashCount(), ShouldBeGreaterThanOrEqualTo, 3)
		f.awaitRestarts()
		for _, path := range append(beside, "/read/beside-all") {
			_, got := f.get(f.vms[0], path)
			So(path+" "+http.StatusText(got.code), ShouldEqual, path+" OK")
		}
	})
}

// An instance ends under a request. Every node is to know, also one that
// starts later and one that only asks.
func TestNodesShareSuspectRequests(t *testing.T) {
	f := newCrashMesh(t, 5)
	knows := func(v *vm) bool {
		k := quarantineStateAt(v.node, fatalPath)
		return v.node.stage(k) >= quarantine.Suspect
	}
	Convey("All know within a second, and a node that starts anew", t, func() {
		f.sendTo(fatalPath, 0)
		So(f.crashCount(), ShouldBeGreaterThan, 0)
		until := time.Now().Add(time.Second)
		for _, v := range f.vms {
			for !knows(v) && time.Now().Before(until) {
				time.Sleep(10 * time.Millisecond)
			}
			So(v.ip+" "+strconv.FormatBool(knows(v)), ShouldEqual, v.ip+" true")
		}
		f.seeds = []string{f.vms[1].node.cfg.Control}
		v := f.mesh.start("127.0.0.40", "archiv")
		f.vms = append(f.vms, v)
		until = time.Now().Add(2 * time.Second)
		for !knows(v) && time.Now().Before(until) {
			time.Sleep(10 * time.Millisecond)
		}
		So(knows(v), ShouldBeTrue)
	})
}

// keptAt is what a node keeps a read of a path apart by.
func quarantineStateAt(n *Node, path string) quarantineState {
	return n.quarantineStateOf(&call.Request{HTTP: &call.HTTPRequest{Method: http.MethodGet, Host: "h", URI: path, Caller: n.cfg.Service}})
}

// A quarantined request comes again. It has run nowhere, its caller is told so
// at once and when to come back, and what differs in anything is served.
func TestQuarantinedRequestIsRefusedImmediately(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("503 with the rest of the term, at every node; others are served", t, func() {
		k := quarantineStateAt(m.vms[0].node, "/read/fatal")
		for i, c := range []quarantine.Caller{"versand", "versand", "archiv"} {
			m.vms[1].node.quarantine.Ended(k.fingerprint, quarantine.End{ID: quarantine.EndID(i + 1), Caller: c, Alone: i == 2})
		}
		m.vms[1].node.queueReport(k.fingerprint)
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

// During an upgrade a node of the version before asks, whose question has a
// field less. It is to be held as long as it asks for and told what it knows
// of; it is not understood, as messages whose fields go by their place are only
// read with the same number of them. So are requests and answers between nodes
// of two versions.
func TestShorterDeltaRequestIsAnswered(t *testing.T) {
	m := newMesh(t, "archiv")
	n := m.vms[0].node
	Convey("A question with a field less is answered", t, func() {
		n.quarantine.Ended(1, quarantine.End{ID: 1, Caller: "archiv"})
		body, err := msgpack.Marshal([]any{n.dir.Revision(), 200 * time.Millisecond})
		So(err, ShouldBeNil)
		began := time.Now()
		a := n.servePeer(context.Background(), call.Request{ID: "q", Operation: sinceOperation, Body: body})
		So(a.Status, ShouldEqual, call.OK)
		So(time.Since(began), ShouldBeGreaterThan, 190*time.Millisecond)
		So(a.News, ShouldBeEmpty)
	})
}
