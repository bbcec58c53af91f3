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

// A VM is replaced and its address goes to another instance. A node that
// still holds the old address sends it a read meant for the service that was
// there, and a dispatch meant for another instance of its own: the new
// target must get neither, or an operation of the same name would answer for
// the wrong service, and a refusal would speak for the wrong instance.
func TestMisroutedCallIsNotRun(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("versand-1's node refuses both before its target sees them", t, func() {
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
