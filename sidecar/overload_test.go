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

// The target makes a call for a request that it runs. The call has the level
// of that request, whatever its own route says, and goes before new requests.
func TestChildRequestInheritsLevel(t *testing.T) {
	m := newMesh(t, "archiv", "versand")
	Convey("A call is found by its id, and is not refused as new", t, func() {
		m.vms[0].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			v := m.vms[0]
			id := r.Header.Get("Request-Id")
			from := v.node.originOf(requestID(id+".c1"), &testRoutes[2])
			other := v.node.originOf(requestID("x.c1"), &testRoutes[2])
			v.node.thresholds.Told("lookup", 0, "versand")
			below, _ := v.node.thresholds.Below("read")
			if !from.child || other.child || from.level != admit.LevelOf(2, requestID(id)) || below != 0 {
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

// An instance breaks off every answer; the callers that asked it once are
// told how it does by its node. Another one fails only because what it calls
// is refused elsewhere: that says nothing of it.
func TestNodeReportsTargetFailureRatio(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("Failures of the target's own are told, those of its calls are not", t, func() {
		for range 10 {
			m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
				call, err := http.NewRequest(http.MethodGet, "http://"+m.vms[1].node.cfg.Callers+"/lookup/x", nil)
				if err != nil {
					return
				}
				call.Host = "h"
				call.Header.Set("Request-Id", r.Header.Get("Request-Id")+".c1")
				resp, err := http.DefaultTransport.RoundTrip(call)
				if err != nil || resp.StatusCode != http.StatusOK {
					writeSigned(w, r, http.StatusInternalServerError, "a call failed")
				}
			})
			m.vms[0].target.handleWith(func(w http.ResponseWriter, r *http.Request) { writeSigned(w, r, http.StatusInternalServerError, "") })
			m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		}
		So(m.vms[1].node.health.Failing(), ShouldEqual, 0)
		So(m.vms[0].node.health.Failing(), ShouldBeGreaterThan, 0.3)
		m.vms[1].target.handleWith(func(w http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) })
		for range 10 {
			m.send(context.Background(), m.vms[0], http.MethodPost, "/publish/x", "n", nil)
		}
		So(m.vms[1].node.health.Failing(), ShouldBeGreaterThan, 0.3)
	})
}

// The targets on a read's way are too busy. It is refused where it enters,
// before any of its work is done, with a time to come back that is within
// what its caller still waits.
func TestOverloadRefusesAtEntryNode(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("503 at once; the target sees nothing, approvals pass", t, func() {
		m.vms[0].node.thresholds.Told("read", 10, "archiv")
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

// Every target is full. A read that waits out its time at one and then again
// at the next is refused long after its caller could have come back: the
// time it may wait is for all of them together.
func TestQueueWaitIsSharedByAttempts(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	Convey("It is refused when the time it may wait is over", t, func() {
		for _, v := range m.vms[1:] {
			for range v.node.gate.Load().Limit {
				_, err := v.node.gate.Enter(context.Background(), slots.Ticket{Deadline: time.Now().Add(time.Minute)})
				So(err, ShouldBeNil)
			}
		}
		sent := time.Now()
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(sent), ShouldBeLessThan, 500*time.Millisecond)
	})
}

// A caller gives up on an action that still waits for its turn at a full
// target. Nothing of it has run, and nobody waits for it: it must not run.
func TestCanceledQueuedActionNeverRuns(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("It leaves the queue with its caller", t, func() {
		v := m.vms[1]
		v.node.gate.SetLimit(1)
		release := make(chan struct{})
		v.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			<-release
			writeSigned(w, r, http.StatusOK, "")
		})
		go m.get(m.vms[0], "/read/first")
		for v.node.gate.Load().Busy == 0 {
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
