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

// leavingBound is the time after which a leaving target must get no new
// calls. It covers the VM list watch and the calls in flight.
const leavingBound = 2 * time.Second

// publish sends n publications, spread over the entwurf instances, and
// returns how many succeeded.
func publish(t *testing.T, m *demo.Mesh, n int) int {
	t.Helper()
	ok := 0
	for i := range n {
		home := m.Graph.Services["entwurf"].Instances[i%3].DC
		if callKeyed(t, entryURL(m, "entwurf", i%3), "entwurf", "publish", call.NewKey(string(home))) == call.OK {
			ok++
		}
	}
	return ok
}

// Guards against calls being routed to an instance that the VM list marks as
// leaving or whose node is shutting down, and against publications failing
// meanwhile.
func TestLeavingTargetsGetNoNewCalls(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Leaving targets get no new calls after a few seconds", t, func() {
		So(publish(t, m, 60), ShouldEqual, 60)
		m.ConfigService.SetLeaving("archiv-2")
		go m.Nodes["archiv-3"].Shutdown(context.Background())
		time.Sleep(leavingBound)
		before2, before3 := m.Targets["archiv-2"].Arrivals(), m.Targets["archiv-3"].Arrivals()
		So(publish(t, m, 120), ShouldEqual, 120)
		So(m.Targets["archiv-2"].Arrivals(), ShouldEqual, before2)
		So(m.Targets["archiv-3"].Arrivals(), ShouldEqual, before3)
	})
}

// Guards against publications being refused while one target drains and its
// node keeps running: they must run at another instance.
func TestDrainingTargetIsSkipped(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Publications go on while one target drains", t, func() {
		m.Targets["versand-1"].Drain()
		So(publish(t, m, 60), ShouldEqual, 60)
	})
}
