package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// An instance ends with several requests in progress. On-call engineers see
// that it ended, once, and which requests were in progress there; a broken
// connection alone is no end.
func TestTargetExitIsDetectedOnce(t *testing.T) {
	Convey("The first request that fails looks for all", t, func() {
		var e exitDetector
		began := time.Now()
		looks := 0
		gone := func() bool { looks++; return true }
		var wg sync.WaitGroup
		var mu sync.Mutex
		firsts := 0
		failed := time.Now()
		for range 20 {
			wg.Go(func() {
				id, first := e.exitDuring(began, failed, gone)
				mu.Lock()
				defer mu.Unlock()
				if first {
					firsts++
				}
				if id == 0 || id != e.exitID {
					t.Error("not seen, or as another end")
				}
			})
		}
		wg.Wait()
		So(looks, ShouldEqual, 1)
		So(firsts, ShouldEqual, 1)
		Convey("What began after it did not run under it", func() {
			later := time.Now()
			id, _ := e.exitDuring(later, time.Now(), func() bool { return false })
			So(id, ShouldEqual, 0)
		})
	})
	Convey("Of two nodes' targets, one ends and one breaks off", t, func() {
		m := newMesh(t, "archiv", "versand")
		m.vms[0].target.handleWith(func(http.ResponseWriter, *http.Request) { m.vms[0].stopTarget() })
		m.vms[1].target.handleWith(func(w http.ResponseWriter, _ *http.Request) {
			if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
				c.Close()
			}
		})
		m.get(m.vms[0], "/read/x")
		m.get(m.vms[1], "/lookup/x")
		So(m.vms[0].node.exits.lastExit.IsZero(), ShouldBeFalse)
		So(m.vms[1].node.exits.lastExit.IsZero(), ShouldBeTrue)
		So(m.vms[1].node.exits.lastCheck.IsZero(), ShouldBeFalse)
	})
}
