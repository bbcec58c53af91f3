package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// The exit of a target must be detected once for all requests in progress. A
// single broken connection is not an exit.
func TestTargetExitIsDetectedOnce(t *testing.T) {
	Convey("The first failed request probes for all", t, func() {
		var detector exitDetector
		began := time.Now()
		probes := 0
		exited := func() bool { probes++; return true }
		var wg sync.WaitGroup
		var mu sync.Mutex
		detections := 0
		failed := time.Now()
		for range 20 {
			wg.Go(func() {
				id, first := detector.exitDuring(began, failed, exited)
				mu.Lock()
				defer mu.Unlock()
				if first {
					detections++
				}
				if id == 0 || id != detector.exitID {
					t.Error("exit not detected or detected twice")
				}
			})
		}
		wg.Wait()
		So(probes, ShouldEqual, 1)
		So(detections, ShouldEqual, 1)
		Convey("A request that began later is not affected", func() {
			later := time.Now()
			id, _ := detector.exitDuring(later, time.Now(), func() bool { return false })
			So(id, ShouldEqual, 0)
		})
	})
	Convey("One target exits, another only breaks a connection", t, func() {
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
