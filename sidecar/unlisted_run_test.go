package sidecar

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// uptime is how long ago the first run of a target in these tests was started.
const uptime = 5 * time.Second

// beforeListing is what happens to the node of a target between a statement of the
// target and its listing.
var beforeListing = []struct {
	name    string
	happens func(m *mesh, v *vm)
}{
	{"its node is up", func(*mesh, *vm) {}},
	{"its node has restarted", func(m *mesh, v *vm) { m.restartNode(v) }},
}

// restartTarget replaces the process of v's target by another under the same ID,
// and returns when that was started. Nothing lists it yet.
func (m *mesh) restartTarget(v *vm) directory.UnixMilli {
	v.stopTarget()
	time.Sleep(2 * time.Millisecond) // for a start later than the last connection
	return m.startNext(v)
}

func (m *mesh) startNext(v *vm) directory.UnixMilli {
	started := directory.UnixMilli(time.Now().UnixMilli())
	v.startTarget(m.listenAt(v.self.Addr))
	return started
}

func (m *mesh) listenAt(addr string) net.Listener {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		m.t.Fatal(err)
	}
	return l
}

// listFirstRun lists v's target at all nodes as started some time ago.
func (m *mesh) listFirstRun(v *vm) {
	v.setStart(directory.UnixMilli(time.Now().Add(-uptime).UnixMilli()), 2, m.vms...)
}

// answered sends a request by way of v and reports whether it was served, and
// how often it reached the target of to.
func (m *mesh) answered(v, to *vm) (served bool, runs int) {
	id, got := m.send(context.Background(), v, http.MethodGet, "/read/x", "", nil)
	return got.code == http.StatusOK, to.target.runCount(id)
}

// Guards against requests to an instance that stated that it leaves before the
// directory listed its restart.
func TestRunThatLeavesBeforeItIsListedGetsNoRequests(t *testing.T) {
	for _, c := range beforeListing {
		Convey("It gets none once it is listed, where "+c.name, t, func() {
			m := newMesh(t, "versand", "archiv")
			sender, v := m.vms[0], m.vms[1]
			target := limitTargets(m.vms[1:], time.Millisecond)[0]
			m.listFirstRun(v)
			served, _ := m.answered(sender, v)
			So(served, ShouldBeTrue)

			started := m.restartTarget(v)
			target.setLeaving(true)
			served, _ = m.answered(sender, v)
			So(served, ShouldBeTrue)
			c.happens(m, v)
			v.setStart(started, 10, m.vms...)
			time.Sleep(drainBound + 100*time.Millisecond)
			for range 5 {
				served, runs := m.answered(sender, v)
				So(served, ShouldBeFalse)
				So(runs, ShouldEqual, 0)
			}
		})
	}
}

// Guards against a run that gets no requests, once it is listed, because the one
// before it left and neither of them was listed in between.
func TestRunAfterOneThatLeftUnlistedIsServed(t *testing.T) {
	Convey("The third run is served", t, func() {
		m := newMesh(t, "versand", "archiv")
		sender, v := m.vms[0], m.vms[1]
		target := limitTargets(m.vms[1:], time.Millisecond)[0]
		m.listFirstRun(v)
		m.restartTarget(v)
		target.setLeaving(true)
		served, _ := m.answered(sender, v)
		So(served, ShouldBeTrue)
		started := m.restartTarget(v)
		target.setLeaving(false)
		v.setStart(started, 10, m.vms...)
		served, runs := m.answered(sender, v)
		So(served, ShouldBeTrue)
		So(runs, ShouldEqual, 1)
	})
}

// formerTarget is a process of a target that goes on serving its open connections
// when the next one listens.
type formerTarget struct {
	server   *http.Server
	listener net.Listener
}

// startFormer replaces v's target by one that handles requests with h.
func (m *mesh) startFormer(v *vm, h http.HandlerFunc) formerTarget {
	v.stopTarget()
	f := formerTarget{server: &http.Server{Handler: h}, listener: m.listenAt(v.self.Addr)}
	go f.server.Serve(f.listener)
	m.cleanups = append(m.cleanups, func() { f.server.Close() })
	return f
}

// replaceListener starts another process of v's target, as restartTarget does,
// while the one before goes on serving its open connections.
func (m *mesh) replaceListener(v *vm, former formerTarget) directory.UnixMilli {
	former.listener.Close()
	time.Sleep(2 * time.Millisecond) // for a start later than the last connection
	return m.startNext(v)
}

// Guards against a run that gets no requests because the one before it, which
// leaves, still answers on a connection that was opened before.
func TestWordOfFormerRunOnOpenConnectionIsNotOfThePresentOne(t *testing.T) {
	Convey("The present run is served, and the former one gets no new request", t, func() {
		m := newMesh(t, "versand", "archiv")
		sender, v := m.vms[0], m.vms[1]
		m.listFirstRun(v)
		arrived, release := make(chan struct{}, 10), make(chan struct{})
		former := m.startFormer(v, func(w http.ResponseWriter, r *http.Request) {
			arrived <- struct{}{}
			<-release
			w.Header().Set(testHeaders.Leaving, testHeaders.LeavingValue)
			writeSigned(w, r, http.StatusOK, "former")
		})
		last := make(chan reply, 1)
		go func() {
			_, got := m.get(sender, "/read/x")
			last <- got
		}()
		<-arrived
		started := m.replaceListener(v, former)
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) { writeSigned(w, r, http.StatusOK, "present") })
		v.setStart(started, 10, m.vms...)
		close(release)
		So((<-last).body, ShouldEqual, "former")
		for range 3 {
			_, got := m.get(sender, "/read/x")
			So(got.code, ShouldEqual, http.StatusOK)
			So(got.body, ShouldEqual, "present")
		}
	})
}

// Guards against requests beyond a rate limit that an instance stated before the
// directory listed its restart.
func TestRateLimitOfUnlistedRunHoldsOnceItIsListed(t *testing.T) {
	for _, c := range beforeListing {
		Convey("It gets what the limit allows once it is listed, where "+c.name, t, func() {
			m := newMesh(t, "versand", "archiv")
			sender, v := m.vms[0], m.vms[1]
			target := limitTargets(m.vms[1:], 400*time.Millisecond)[0]
			m.listFirstRun(v)
			started := m.restartTarget(v)
			target.setLimit("0.5")
			served, _ := m.answered(sender, v)
			So(served, ShouldBeTrue)
			c.happens(m, v)
			v.setStart(started, 10, m.vms...)
			time.Sleep(tellTime)
			m.loadFrom(m.vms[:1], "/read/x", 20, 5*time.Millisecond, 3*time.Second) // the restarted one does not know of the limit
			So(target.mostInWindow(), ShouldBeLessThanOrEqualTo, int(ruleRatio*0.5*ruleWindow.Seconds())+ruleSlack)
			So(v.node.targetRate.get(), ShouldEqual, 0.5)
		})
	}
}

// Guards against a rate limit of the run before that is applied to the present
// one, because a sender knows of it that does not list the present one yet.
func TestRateLimitOfFormerRunIsNotAdopted(t *testing.T) {
	Convey("The restarted node lists the present run and has no limit for it", t, func() {
		m := newMesh(t, "versand", "archiv")
		sender, v := m.vms[0], m.vms[1]
		target := limitTargets(m.vms[1:], time.Millisecond)[0]
		m.listFirstRun(v)
		target.setLimit("0.25")
		served, _ := m.answered(sender, v)
		So(served, ShouldBeTrue)
		started := m.restartTarget(v)
		target.setLimit("")
		m.restartNode(v)
		v.setStart(started, 10, v)
		v.node.adoptKnown(call.Request{To: string(v.self.ID), KnownRateLimit: 0.25, KnownUpAt: started - 1})
		So(v.node.targetRate.get(), ShouldEqual, 0)
		served, _ = m.answered(sender, v)
		So(served, ShouldBeTrue)
		So(v.node.targetRate.get(), ShouldEqual, 0)
	})
}

// Guards against a run that is avoided for the failures of the one before, whose
// requests end only after the present one is listed.
func TestLateFailureOfFormerRunDoesNotCount(t *testing.T) {
	Convey("The present run has no failures", t, func() {
		m := newMesh(t, "versand", "archiv")
		sender, v := m.vms[0], m.vms[1]
		m.listFirstRun(v)
		arrived := make(chan struct{})
		former := m.startFormer(v, func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
		})
		failed := make(chan reply, 1)
		go func() {
			_, got := m.send(context.Background(), sender, http.MethodPost, "/publish/x", "", nil)
			failed <- got
		}()
		<-arrived
		started := m.replaceListener(v, former)
		v.setStart(started, 10, m.vms...)
		former.server.Close()
		So((<-failed).code, ShouldBeGreaterThanOrEqualTo, http.StatusInternalServerError)
		So(v.node.health.FailureRate(), ShouldEqual, 0)
	})
}

// Guards against statements that are lost while the nodes of instances run a former
// version, which does not say which run answered.
func TestStatementOfFormerVersionIsOfTheListedRun(t *testing.T) {
	Convey("Unless the node of the instance says otherwise", t, func() {
		sentTo := directory.Incarnation{ID: "i", At: 7}
		So(sightingOf(sentTo, call.InstanceState{Leaving: true}), ShouldResemble, directory.Sighting{ID: "i", At: 7})
		So(sightingOf(sentTo, call.InstanceState{Leaving: true, UpAt: 9}), ShouldResemble, directory.Sighting{ID: "i", At: 9})
	})
}
