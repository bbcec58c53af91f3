package sidecar

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A node with a short grace period must refuse new requests early enough to
// finish those it has accepted.
func TestDrainingNodeRefusesNewRequestsEarly(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	getAfter := func(since time.Duration) int {
		v.node.drainStart.Store(time.Now().Add(-since).UnixNano())
		_, got := m.get(v, "/read/x")
		return got.code
	}
	Convey("New requests are refused after half of the grace period", t, func() {
		So(v.node.cfg.ShutdownGrace, ShouldEqual, 3*time.Second)
		So(getAfter(time.Second), ShouldEqual, http.StatusOK)
		So(getAfter(1600*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		So(getAfter(2500*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		v.node.drainStart.Store(0)
	})
}
