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

// A node is started while the store does not answer. It knows no route, so a
// 404 would deny a request that every version allows.
func TestNodeWithoutRoutesReturnsRetryAfter(t *testing.T) {
	m := &mesh{t: t, port: freePort(t)}
	m.vms = append(m.vms, m.start("127.0.0.2", "archiv"))
	t.Cleanup(m.stop)
	Convey("503 with Retry-After, and not ready", t, func() {
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
	resp, err := http.Get("http://" + v.node.cfg.Ready + "/ready")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// A node gets SIGTERM while its target works on a request that came from
// another node, and new requests still come for a while. None may be cut, and
// the process ends in its grace.
func TestShutdownFinishesRequests(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("What runs ends, what comes is answered, the process ends in its grace", t, func() {
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

// Nodes are restarted one after the other. Each stays up for two seconds so
// that callers notice, and its instance, a third of its service, would have
// nothing to do meanwhile while the others refuse reads for want of room.
func TestDrainingNodeServesPeersAtFirst(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("Peers' requests are served at first, then sent away unrun, and none is cut", t, func() {
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

// The store does not tell one node of a change and tells the other. The
// first hears from the second's answers that it is behind, and catches up.
func TestNodeCatchesUpWithPeerRevision(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("Answers carry the revision, and the snapshot is taken over", t, func() {
		r, err := directory.NewRoutes(2, directory.Limits{}, testRoutes[:1])
		So(err, ShouldBeNil)
		m.vms[1].dir.Apply([]directory.Change{{Routes: r}}, 9)
		m.get(m.vms[0], "/read/x")
		time.Sleep(catchUpDelay + 200*time.Millisecond)
		So(m.vms[0].dir.Revision(), ShouldEqual, 9)
		So(m.vms[0].dir.View().Routes.Version, ShouldEqual, 2)
	})
}
