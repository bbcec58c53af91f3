package sidecar

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A node with three seconds of grace is stopped while callers go on. It took
// their reads until 2.8 s, waited for answers until 2.7 s, and closed: a read
// that it took at 2.5 s ran at an instance behind a slow link, and its caller
// saw the connection end without an answer.
func TestDrainingNodeRefusesNewRequestsEarly(t *testing.T) {
	m := newMesh(t, "archiv")
	v := m.vms[0]
	at := func(since time.Duration) int {
		v.node.drainStart.Store(time.Now().Add(-since).UnixNano())
		_, got := m.get(v, "/read/x")
		return got.code
	}
	Convey("Half of a short grace is left for what it took", t, func() {
		So(v.node.cfg.Grace, ShouldEqual, 3*time.Second)
		So(at(time.Second), ShouldEqual, http.StatusOK)
		So(at(1600*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		So(at(2500*time.Millisecond), ShouldEqual, http.StatusServiceUnavailable)
		v.node.drainStart.Store(0)
	})
}
