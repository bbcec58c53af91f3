package sidecar

import (
	"bytes"
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/replication"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

func (v *vm) addr() replication.Addr { return replication.Addr(v.node.cfg.PeerAddr) }

// A long poll must return a change as soon as the peer learns of it.
func TestSinceReturnsPeerChanges(t *testing.T) {
	m := newMesh(t, "archiv", "archiv")
	Convey("The long poll returns the change", t, func() {
		got := make(chan directory.Delta, 1)
		go func() {
			x, err := m.vms[0].node.Since(context.Background(), m.vms[1].addr(), directory.Position{Revision: 1}, 2*time.Second)
			if err != nil {
				t.Error(err)
			}
			got <- x
		}()
		time.Sleep(100 * time.Millisecond)
		in := m.vms[1].self
		in.Revision, in.Leaving = 2, true
		m.vms[1].dir.Apply([]directory.Change{{Instance: &in}}, 2)
		x := <-got
		So(x.After, ShouldEqual, 1)
		So(x.Instances, ShouldHaveLength, 1)
		So(x.Instances[0].Leaving, ShouldBeTrue)
	})
}

// Guards against nodes of the former version, which do not state the version of their
// routes, that take over a revision without the routes it covers.
func TestDeltaRequestWithoutVersionGetsRoutes(t *testing.T) {
	m := newMesh(t, "archiv")
	n := m.vms[0].node
	answer := func(fields ...any) directory.Delta {
		body, err := msgpack.Marshal(fields)
		So(err, ShouldBeNil)
		a := n.servePeer(context.Background(), call.Request{ID: "q", Operation: sinceOperation, Body: body})
		So(a.Status, ShouldEqual, call.OK)
		x, err := directory.Decode(a.Body)
		So(err, ShouldBeNil)
		return x
	}
	Convey("The routes are in the answer, though the revision is the same", t, func() {
		x := answer(n.dir.Revision(), time.Duration(0), nil)
		So(x.After, ShouldEqual, n.dir.Revision())
		So(x.Routes, ShouldNotBeNil)
	})
	Convey("They are not if the version is stated", t, func() {
		So(answer(n.dir.Revision(), time.Duration(0), nil, n.dir.Position().Routes).Routes, ShouldBeNil)
	})
}

// A draining node must not hold long polls, which would delay its shutdown.
func TestDrainingNodeReleasesLongPolls(t *testing.T) {
	m := newMesh(t, "archiv", "archiv")
	Convey("The long poll ends immediately", t, func() {
		ended := make(chan error, 1)
		began := time.Now()
		go func() {
			_, err := m.vms[0].node.Since(context.Background(), m.vms[1].addr(), directory.Position{Revision: 1}, 4*time.Second)
			ended <- err
		}()
		time.Sleep(100 * time.Millisecond)
		go m.vms[1].node.Shutdown(context.Background())
		So(<-ended, ShouldNotBeNil)
		So(time.Since(began), ShouldBeLessThan, time.Second)
	})
}

// An operation that cannot be decoded must change no state and must be
// counted.
func TestUndecodableOperationIsCounted(t *testing.T) {
	m := newMesh(t, "archiv")
	n := m.vms[0].node
	Convey("The operation fails and is counted", t, func() {
		before := n.dir.Revision()
		for _, op := range []string{sinceOperation, vouchOperation, exitReportOperation} {
			a := n.servePeer(context.Background(), call.Request{ID: "q", Operation: op, Body: []byte("junk")})
			So(a.Status, ShouldEqual, call.Failed)
		}
		So(n.dir.Revision(), ShouldEqual, before)
		w := httptest.NewRecorder()
		n.stats.ServeHTTP(w, nil)
		So(bytes.Contains(w.Body.Bytes(), []byte(`oatpin_messages_misread_total{node="`+n.cfg.Name+`"} 3`)), ShouldBeTrue)
	})
}
