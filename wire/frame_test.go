package wire

import (
	"testing"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// Older nodes encode frames as maps. A node that could not decode them would
// close the connection, and old and new nodes could not call each other during a
// rolling upgrade.
func TestDecodeFrameWithNamedFields(t *testing.T) {
	Convey("A frame encoded as a map is decoded", t, func() {
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
		Convey("Its array encoding is smaller and decodes to the same request", func() {
			out, err := msgpack.Marshal(&f)
			So(err, ShouldBeNil)
			So(len(out), ShouldBeLessThan, len(b)-20)
			var decoded Frame
			So(msgpack.Unmarshal(out, &decoded), ShouldBeNil)
			So(decoded.Request.Body, ShouldResemble, f.Request.Body)
			So(decoded.Request.Remaining, ShouldEqual, f.Request.Remaining)
		})
	})
}
