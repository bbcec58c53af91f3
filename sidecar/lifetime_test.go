package sidecar

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// A node without routes must not answer 404 for a path that may have a route.
func TestNodeWithoutRoutesReturnsRetryAfter(t *testing.T) {
	m := &mesh{t: t, port: freePort(t)}
	m.vms = append(m.vms, m.startVM("127.0.0.2", "archiv"))
	t.Cleanup(m.stop)
	Convey("503 with Retry-After, and the readiness check fails", t, func() {
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotEqual, "")
		So(readyCode(m.vms[0]), ShouldEqual, http.StatusServiceUnavailable)
		m.updateAll(1)
		So(readyCode(m.vms[0]), ShouldEqual, http.StatusOK)
		_, got = m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

func readyCode(v *vm) int {
	resp, err := http.Get("http://" + v.node.cfg.ReadyAddr + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Shutdown must finish requests in progress, answer those that arrive during
// it, and end within the grace period.
func TestShutdownFinishesRequests(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("Running requests finish, new ones are answered, and the node stops within its grace period", t, func() {
		began := make(chan struct{}, 1)
		for _, v := range m.vms[1:] {
			v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
				if strings.HasSuffix(r.URL.Path, "slow") {
					began <- struct{}{}
					time.Sleep(600 * time.Millisecond)
				}
				writeSigned(w, r, http.StatusOK, "")
			})
		}
		slow := make(chan reply, 1)
		go func() {
			_, got := m.get(m.vms[0], "/read/slow")
			slow <- got
		}()
		<-began
		stopping := m.vms[1]
		if len(m.vms[2].target.runsByID) > 0 {
			stopping = m.vms[2]
		}
		start := time.Now()
		stopped := make(chan struct{})
		go func() { stopping.node.Shutdown(context.Background()); close(stopped) }()
		time.Sleep(20 * time.Millisecond)
		So(readyCode(stopping), ShouldEqual, http.StatusServiceUnavailable)
		for range 20 {
			_, got := m.get(m.vms[0], "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
			_, got = m.get(stopping, "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
		}
		So((<-slow).code, ShouldEqual, http.StatusOK)
		<-stopped
		So(time.Since(start), ShouldBeLessThan, 3*time.Second)
		So(<-stopping.served, ShouldBeNil)
	})
}

// A draining node must keep serving its peers for a while. Otherwise its
// instance would idle during every restart while other instances are
// overloaded.
func TestDrainingNodeServesPeersAtFirst(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("Requests from peers are served at first and refused later", t, func() {
		stopped := make(chan struct{})
		go func() { m.vms[1].node.Shutdown(context.Background()); close(stopped) }()
		time.Sleep(20 * time.Millisecond)
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		time.Sleep(peerDrainDelay)
		id, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		<-stopped
	})
}

// A node that missed a change must detect it from the revision in a peer's
// responses and catch up.
func TestNodeCatchesUpWithPeerRevision(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The newer revision is fetched from the peer", t, func() {
		r, err := directory.NewRoutes(2, directory.Limits{}, testRoutes[:1])
		So(err, ShouldBeNil)
		m.vms[1].dir.Apply([]directory.Change{{Routes: r}}, 9)
		m.get(m.vms[0], "/read/x")
		time.Sleep(catchUpDelay + 200*time.Millisecond)
		So(m.vms[0].dir.Revision(), ShouldEqual, 9)
		So(m.vms[0].dir.View().Routes.Version, ShouldEqual, 2)
	})
}

// Guards against a new instance that gets no requests because of the failures of
// the one before, whose entry was gone for a moment.
func TestNewInstanceStartsWithoutFailuresOfFormerOne(t *testing.T) {
	for _, c := range []struct {
		name   string
		former bool // the former instance was listed at this node
	}{{"its entry was removed before the new one was written", true}, {"this node had started and knew of none", false}} {
		Convey(c.name, t, func() {
			m := newMesh(t, "archiv")
			v := m.vms[0]
			if !c.former {
				v.node.self.Store(nil)
				v.node.targetRun.Store(nil)
			}
			for range 50 {
				v.node.health.Record(true)
			}
			leaving := v.self
			leaving.Leaving, leaving.Revision = true, 10
			v.dir.Apply([]directory.Change{{Instance: &leaving}, {Removed: leaving.ID, RemovedAt: 11}}, 11)
			So(v.node.self.Load(), ShouldBeNil)
			So(v.node.health.FailureRate(), ShouldBeGreaterThan, 0.5)
			next := v.self
			next.ID, next.Started, next.Revision = "i-next", 1, 12
			v.dir.Apply([]directory.Change{{Instance: &next}}, 12)
			So(v.node.health.FailureRate(), ShouldEqual, 0)
		})
	}
}

// Guards against an instance that fails being sent as much as others because its
// entry was gone for a moment.
func TestInstanceListedAgainKeepsItsFailures(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	Convey("The failure rate of the same run stays", t, func() {
		for range 50 {
			v.node.health.Record(true)
		}
		v.dir.Apply([]directory.Change{{Removed: v.self.ID, RemovedAt: 10}}, 10)
		v.dir.DropUnlisted(v.self.Incarnation())
		So(v.node.self.Load(), ShouldBeNil)
		again := v.self
		again.Revision = 11
		v.dir.Apply([]directory.Change{{Instance: &again}}, 11)
		So(v.node.self.Load(), ShouldNotBeNil)
		So(v.node.health.FailureRate(), ShouldBeGreaterThan, 0.5)
	})
}
