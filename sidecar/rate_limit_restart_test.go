package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// restartNode stops the node of v without draining it and starts another, which
// knows the directory but nothing of its target.
func (m *mesh) restartNode(v *vm) {
	v.stopNode()
	<-v.served
	m.awaitClosed(v.node.cfg.PeerAddr) // Serve returns at the first of its listeners
	m.startNode(v)
	m.updateAll(2)
}

// Guards against a burst of requests to an instance with a rate limit when the
// node beside it restarts and does not know of the limit.
func TestRateLimitHoldsWhileItsNodeRestarts(t *testing.T) {
	m := newMesh(t, "versand", "versand", "archiv", "archiv")
	Convey("The nodes that know of the limit tell the restarted one", t, func() {
		targets := limitTargets(m.vms[2:], 400*time.Millisecond)
		targets[0].setLimit("0.5")
		targets[1].setLimit("0.5")
		m.load("/read/x", 1, 10*time.Millisecond, time.Second)
		for _, v := range m.vms[2:] {
			m.restartNode(v)
			So(v.node.targetRate.get(), ShouldEqual, 0)
		}
		codes := m.load("/read/x", 2, 5*time.Millisecond, 3*time.Second)
		So(codes[http.StatusServiceUnavailable], ShouldBeGreaterThan, 0)
		for _, l := range targets {
			So(l.mostInWindow(), ShouldBeLessThanOrEqualTo, int(ruleRatio*0.5*ruleWindow.Seconds())+ruleSlack)
		}
	})
}

// Guards against a node that keeps to a limit of which another told it although
// the target no longer states one.
func TestRateLimitHeardFromPeerEndsWithFirstAnswer(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The first answer of the target counts", t, func() {
		targets := limitTargets(m.vms[1:], time.Millisecond)
		targets[0].setLimit("0.25")
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		m.restartNode(m.vms[1])
		targets[0].setLimit("")
		_, got = m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(m.vms[1].node.targetRate.get(), ShouldEqual, 0)
		for range 20 {
			_, got = m.get(m.vms[0], "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
		}
	})
}

// Guards against requests to a leaving instance when the node beside it restarts
// and the directory still lists the instance as in service.
func TestLeavingInstanceGetsNoRequestsWhenItsNodeRestarts(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("A node that has passed on that it leaves does not send to it again", t, func() {
		targets := limitTargets(m.vms[1:], time.Millisecond)
		targets[0].leaving, targets[1].leaving = true, true
		for range 2 {
			_, got := m.get(m.vms[0], "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
		}
		for _, v := range m.vms[1:] {
			m.restartNode(v)
		}
		id, got := m.send(context.Background(), m.vms[0], http.MethodGet, "/read/x", "", nil)
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id)+m.vms[2].target.runCount(id), ShouldEqual, 0)
	})
}

// Guards against a limit of one request in seconds that refuses requests of a
// high rank while it admits those of a low one.
func TestRankDecidesWhichRequestsARateLimitedServiceTakes(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("All requests of the first rank are served, reads are refused", t, func() {
		targets := limitTargets(m.vms[1:], 5*time.Millisecond)
		for _, l := range targets {
			l.setLimit("8")
		}
		m.load("/read/x", 1, 10*time.Millisecond, 500*time.Millisecond)
		reads := make(chan map[int]int, 1)
		go func() { reads <- m.load("/read/x", 6, 10*time.Millisecond, 3*time.Second) }()
		published := m.load("/publish/x", 1, time.Second, 3*time.Second)
		refused := <-reads
		So(published, ShouldResemble, map[int]int{http.StatusOK: published[http.StatusOK]})
		So(refused[http.StatusServiceUnavailable], ShouldBeGreaterThan, 0)
	})
}

// setStart sets when v's instance started, at the given nodes only.
func (v *vm) setStart(started directory.UnixMilli, revision directory.Revision, at ...*vm) {
	v.self.Started, v.self.Revision = started, revision
	for _, other := range at {
		other.dir.Apply([]directory.Change{{Instance: &v.self}}, revision)
	}
}

// Guards against an instance that restarts under its ID after it stated that it
// leaves, and gets no requests because its earlier run is taken for the new one.
func TestRestartedInstanceIsNotTakenAsLeaving(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed bool
	}{{"its node knows the earlier run", true}, {"its node knows no run of it", false}} {
		Convey("It is served again, where "+c.name, t, func() {
			m := newMesh(t, "versand", "archiv")
			sender, v := m.vms[0], m.vms[1]
			target := limitTargets(m.vms[1:], time.Millisecond)[0]
			v.setStart(1, 2, sender)
			if c.listed {
				v.setStart(1, 3, v)
			} else {
				v.dir.Apply([]directory.Change{{Removed: v.self.ID, RemovedAt: 3}}, 3)
				v.dir.DropUnlisted(v.self.Incarnation())
				v.dir.DropUnlisted(directory.Incarnation{ID: v.self.ID})
			}
			target.leaving = true
			_, got := m.get(sender, "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
			_, got = m.get(sender, "/read/x")
			So(got.code, ShouldEqual, http.StatusServiceUnavailable)

			target.leaving = false
			v.setStart(4, 4, sender)
			m.get(sender, "/read/x")
			v.setStart(4, 5, v)
			time.Sleep(100 * time.Millisecond)
			So(v.node.self.Load().Started, ShouldEqual, 4)
			for range 5 {
				_, got = m.get(sender, "/read/x")
			}
			So(got.code, ShouldEqual, http.StatusOK)
		})
	}
}
