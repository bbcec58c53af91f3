package wire

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// Nodes are replaced one after the other. One that runs the version before
// sends frames whose fields have names; a node that could not read them would
// close the connection, and the two halves of the fleet could not call each
// other until the last is replaced.
func TestFramesWithNamedFieldsAreRead(t *testing.T) {
	Convey("A frame of the version before is the same frame", t, func() {
		named := map[string]any{"kind": KindRequest, "stream": 7, "config": 42, "from": "archiv-1",
			"request": map[string]any{"id": "r1", "service": "archiv", "operation": "read", "remaining": 2000000000, "budget": 3,
				"body": []byte("b"), "http": []any{"GET", "h", "/x", []any{[]any{"A", "b"}}, "entwurf", 33, true, false, true, 0}}}
		b, err := msgpack.Marshal(named)
		So(err, ShouldBeNil)
		var f Frame
		So(msgpack.Unmarshal(b, &f), ShouldBeNil)
		So(f.Stream, ShouldEqual, 7)
		So(f.From, ShouldEqual, "archiv-1")
		So(f.Request.ID, ShouldEqual, call.RequestID("r1"))
		So(f.Request.HTTP.Header, ShouldResemble, []call.Field{{Name: "A", Value: "b"}})
		So(f.Request.HTTP.Level, ShouldEqual, 33)
		Convey("And what goes out now is smaller and comes back whole", func() {
			out, err := msgpack.Marshal(&f)
			So(err, ShouldBeNil)
			So(len(out), ShouldBeLessThan, len(b)-20)
			var again Frame
			So(msgpack.Unmarshal(out, &again), ShouldBeNil)
			So(again.Request.Body, ShouldResemble, f.Request.Body)
			So(again.Request.Remaining, ShouldEqual, f.Request.Remaining)
		})
	})
}
