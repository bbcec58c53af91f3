package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

// leavingBound is the "few seconds" after which a leaving target gets no
// new work: the watch of the VM list answers at once, so it holds the calls
// in flight at that moment, with room to spare.
const leavingBound = 2 * time.Second

// publish sends n publications spread over the entwurf instances and
// returns how many came back whole.
func publish(t *testing.T, m *demo.Mesh, n int) int {
	t.Helper()
	ok := 0
	for i := range n {
		home := m.Graph.Services["entwurf"].Instances[i%3].DC
		if callKeyed(t, entry(m, "entwurf", i%3), "entwurf", "publish", call.NewKey(string(home))) == call.OK {
			ok++
		}
	}
	return ok
}

// The platform's VM list marks archiv-2 as leaving, and archiv-3's node is
// stopped by its operator. Within a few seconds neither target may get new
// work, or a replacement VM would lose calls when the old one goes; the
// rest of the mesh must go on publishing whole.
func TestLeavingTargetsGetNoNewWork(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Leaving targets get no new calls after a few seconds", t, func() {
		So(publish(t, m, 60), ShouldEqual, 60)
		m.Platform.SetLeaving("archiv-2")
		go m.Nodes["archiv-3"].Shutdown(context.Background())
		time.Sleep(leavingBound)
		before2, before3 := m.Targets["archiv-2"].Arrivals(), m.Targets["archiv-3"].Arrivals()
		So(publish(t, m, 120), ShouldEqual, 120)
		So(m.Targets["archiv-2"].Arrivals(), ShouldEqual, before2)
		So(m.Targets["archiv-3"].Arrivals(), ShouldEqual, before3)
	})
}

// versand-1's target drains by itself, as an operator empties it; its node
// stays. Publications of its data centre must run at other instances rather
// than be refused until somebody takes the target off the list.
func TestDrainingTargetIsPassedOver(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Publications go on while one target drains", t, func() {
		m.Targets["versand-1"].Drain()
		So(publish(t, m, 60), ShouldEqual, 60)
	})
}
