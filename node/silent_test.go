package node_test

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// The connection to one of two instances goes silent: it takes calls and
// delivers nothing. An editor's read that was sent on it must come back
// whole from the other instance, well before its deadline of 5 s.
func TestReadOnASilentConnectionIsAnsweredByAnother(t *testing.T) {
	Convey("Reads sent to a silent and a sound instance all come back whole", t, func() {
		silent := startFakePeer(t, func(call.Request) *call.Answer { select {} })
		sound := startFakePeer(t, func(call.Request) *call.Answer { return &call.Answer{Status: call.OK} })
		base := startNode(t, fakeText(t, "idempotent = true\nretries = 1\ndeadline = 5s", silent, sound), "front-1", "http://127.0.0.1:1")
		for range 2 { // one of the two is picked for each
			st := callOp(t, base, "back", "op")
			So(st, ShouldEqual, call.OK)
		}
		So(silent.requests(), ShouldNotBeEmpty)
	})
}
