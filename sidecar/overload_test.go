package sidecar

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
)

// A child request must have the level of its parent, not that of its own
// route, and must not be refused as a new request.
func TestChildRequestInheritsLevel(t *testing.T) {
	m := newMesh(t, "archiv", "versand")
	Convey("A child request is recognized by its id and not refused as new", t, func() {
		m.vms[0].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			v := m.vms[0]
			id := r.Header.Get("Request-Id")
			origin := v.node.originOf(requestID(id+".c1"), &testRoutes[2], false)
			other := v.node.originOf(requestID("x.c1"), &testRoutes[2], false)
			v.node.thresholds.RecordThreshold("lookup", 0, "versand")
			below, _ := v.node.thresholds.CalleeThreshold("read")
			if !origin.child || other.child || origin.level != admit.LevelOf(2, requestID(id)) || below != 0 {
				writeSigned(w, r, http.StatusInternalServerError, "not found")
				return
			}
			_, got := m.send(context.Background(), v, http.MethodGet, "/lookup/x", "", map[string]string{"Request-Id": id + ".c1"})
			writeSigned(w, r, got.code, "")
		})
		id, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(m.vms[1].target.runCount(id+".c1"), ShouldEqual, 1)
	})
}

// A node must report the failures of its own target, but not those caused by
// failed child requests.
func TestNodeReportsTargetFailureRate(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The target's own failures are reported, those of child requests are not", t, func() {
		for range 10 {
			m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
				child, err := http.NewRequest(http.MethodGet, "http://"+m.vms[1].node.cfg.CallerAddr+"/lookup/x", nil)
				if err != nil {
					return
				}
				child.Host = "h"
				child.Header.Set("Request-Id", r.Header.Get("Request-Id")+".c1")
				resp, err := http.DefaultTransport.RoundTrip(child)
				if err != nil || resp.StatusCode != http.StatusOK {
					writeSigned(w, r, http.StatusInternalServerError, "a child request failed")
				}
			})
			m.vms[0].target.handleWith(func(w http.ResponseWriter, r *http.Request) { writeSigned(w, r, http.StatusInternalServerError, "") })
			m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		}
		So(m.vms[1].node.health.FailureRate(), ShouldEqual, 0)
		So(m.vms[0].node.health.FailureRate(), ShouldBeGreaterThan, 0.3)
		m.vms[1].target.handleWith(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
		for range 10 {
			m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		}
		So(m.vms[1].node.health.FailureRate(), ShouldBeGreaterThan, 0.3)
	})
}

// A request with an overloaded target on its path must be refused at the
// entry node with a Retry-After within its deadline.
func TestOverloadRefusesAtEntryNode(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("A read gets 503 and does not reach the target; a publish request passes", t, func() {
		m.vms[0].node.thresholds.RecordThreshold("read", 10, "archiv")
		id, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(m.vms[1].target.runCount(id), ShouldEqual, 0)
		after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		So(err, ShouldBeNil)
		So(after, ShouldBeBetween, 0.02, 0.5)
		_, got = m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.code, ShouldEqual, http.StatusOK)
	})
}

// The queue wait is bounded over all attempts. A request must not wait for the
// whole bound at one instance after another.
func TestQueueWaitIsSharedByAttempts(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("The request is refused when its queue wait is over", t, func() {
		for _, v := range m.vms[1:] {
			for range v.node.gate.Load().Limit {
				_, err := v.node.gate.Acquire(context.Background(), slots.Ticket{Deadline: time.Now().Add(time.Minute)})
				So(err, ShouldBeNil)
			}
		}
		sent := time.Now()
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(sent), ShouldBeLessThan, 500*time.Millisecond)
	})
}

// A queued non-idempotent request must not be executed after its caller has
// disconnected.
func TestCanceledQueuedRequestIsNotExecuted(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("The request leaves the queue when its caller disconnects", t, func() {
		v := m.vms[1]
		v.node.gate.SetLimit(1)
		release := make(chan struct{})
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			<-release
			writeSigned(w, r, http.StatusOK, "")
		})
		go m.get(m.vms[0], "/read/first")
		for v.node.gate.Load().InFlight == 0 {
			time.Sleep(time.Millisecond)
		}
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			for v.node.gate.Load().Queued == 0 {
				time.Sleep(time.Millisecond)
			}
			cancel()
		}()
		id, got := m.send(ctx, m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		So(got.err, ShouldNotBeNil)
		for v.node.gate.Load().Queued > 0 {
			time.Sleep(time.Millisecond)
		}
		close(release)
		time.Sleep(50 * time.Millisecond)
		So(v.target.runCount(id), ShouldEqual, 0)
	})
}
