package node_test

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an idempotent call waiting for its full deadline of 5 s on a
// connection that accepts calls and delivers nothing.
func TestReadFailsOverFromSilentConnection(t *testing.T) {
	Convey("Calls to a silent and a healthy instance all succeed", t, func() {
		silent := startFakePeer(t, func(call.Request) *call.Answer { select {} })
		healthy := startFakePeer(t, func(call.Request) *call.Answer { return &call.Answer{Status: call.OK} })
		base := startNode(t, fakeGraph(t, "idempotent = true\nretries = 1\ndeadline = 5s", silent, healthy), "front-1", "http://127.0.0.1:1")
		for range 2 { // round-robin: each instance is picked first once
			st := callOp(t, base, "back", "op")
			So(st, ShouldEqual, call.OK)
		}
		So(silent.requests(), ShouldNotBeEmpty)
	})
}
