package node_test

import (
	"context"
	"testing"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/wire"
	. "github.com/smartystreets/goconvey/convey"
)

// A VM is replaced and its address goes to an instance of another service.
// A node that still holds the old address sends it a read meant for the
// service that was there: the new target must not get it, or an operation
// of the same name would answer for the wrong service.
func TestCallForAnotherServiceIsNotRun(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("versand's node refuses a call for archiv before its target sees it", t, func() {
		conn, err := wire.Dial(context.Background(), m.Graph.Services["versand"].Instances[0].Peer, wire.DialConfig{})
		So(err, ShouldBeNil)
		defer conn.Close()
		a, err := conn.Call(context.Background(), call.Request{ID: "r", Service: "archiv", Operation: "read", Remaining: 1e9}, 1)
		So(err, ShouldBeNil)
		So(a.Status, ShouldEqual, call.NotRun)
		So(m.Targets["versand-1"].Arrivals(), ShouldEqual, 0)
	})
}
