package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/wire"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against running a call sent to an address that was reassigned to
// another service or instance, and against declining a key on behalf of the
// previous instance.
func TestMisroutedCallIsNotRun(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("The node refuses both calls before they reach its target", t, func() {
		conn, err := wire.Dial(context.Background(), m.Graph.Services["versand"].Instances[0].Peer, wire.DialConfig{})
		So(err, ShouldBeNil)
		defer conn.Close()
		for _, r := range []call.Request{
			{ID: "r1", Service: "archiv", Operation: "read", Remaining: time.Second},
			{ID: "r2", Service: "versand", Operation: "dispatch", Remaining: time.Second, To: "versand-2", Key: call.NewKey("halle-nord")},
		} {
			a, err := conn.Call(context.Background(), r, 1)
			So(err, ShouldBeNil)
			So(a.Status, ShouldEqual, call.NotRun)
			So(a.Declined, ShouldBeFalse)
		}
		So(m.Targets["versand-1"].Arrivals(), ShouldEqual, 0)
	})
}
