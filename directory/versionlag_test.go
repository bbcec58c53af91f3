package directory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node that holds an older version of the routes than the nodes
// that it asks, without any sign of it.
func TestOlderRoutesThanPeersAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines := memory.New()
		d := New(DefaultConfig(&log.Logger{Handler: lines}))
		d.Replace(Snapshot{Revision: 5, Routes: testRoutes(t, 3)})
		logged := func(message string) int {
			n := 0
			for _, e := range lines.Entries {
				if e.Message == message {
					n++
				}
			}
			return n
		}
		hear := func(x Delta, during time.Duration) {
			for began := time.Now(); time.Since(began) < during; time.Sleep(expiryInterval) {
				d.ApplyDelta(x)
				d.ExpireUnlisted()
			}
		}
		Convey("A peer with the same version is no difference", t, func() {
			hear(Delta{After: 5, Snapshot: Snapshot{Revision: 5}, RoutesVersion: 3}, 2*maxVersionLag)
			So(logged("routes_behind"), ShouldEqual, 0)
			So(d.NewestVersion(), ShouldEqual, 3)
			Convey("A newer version that is not taken over is logged once", func() {
				hear(Delta{After: 5, Snapshot: Snapshot{Revision: 6}, RoutesVersion: 4}, maxVersionLag)
				So(logged("routes_behind"), ShouldEqual, 0)
				So(d.NewestVersion(), ShouldEqual, 4)
				hear(Delta{After: 5, Snapshot: Snapshot{Revision: 6}, RoutesVersion: 4}, 10*maxVersionLag)
				So(logged("routes_behind"), ShouldEqual, 1)
				Convey("And that the node has caught up", func() {
					d.ApplyDelta(Delta{After: 6, Snapshot: Snapshot{Revision: 7, Routes: testRoutes(t, 4)}, RoutesVersion: 4})
					d.ExpireUnlisted()
					d.ExpireUnlisted()
					So(logged("routes_caught_up"), ShouldEqual, 1)
					So(logged("routes_behind"), ShouldEqual, 1)
				})
			})
		})
	})
}
