package sidecar

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/message/messagetest"
	"github.com/oatpin/oatpin/quarantine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

var testDeltaRequest = deltaRequest{After: 300, Wait: time.Second, Cursor: &quarantine.Cursor{Epoch: 1 << 60, Seq: 2}}

// The first fields of a deltaRequest must be encoded as by the previous version,
// which skips the last one.
func TestDeltaRequestWireCompatibility(t *testing.T) {
	Convey("Decoding matches the recorded bytes, and encoding but for the last field", t, func() {
		var got deltaRequest
		So(msgpack.Unmarshal(messagetest.Golden(t, "question"), &got), ShouldBeNil)
		So(got, ShouldResemble, testDeltaRequest)
		ours, err := msgpack.Marshal(testDeltaRequest)
		So(err, ShouldBeNil)
		withVersion := append([]byte{0x94}, messagetest.Golden(t, "question")[1:]...)
		So(ours, ShouldResemble, append(withVersion, 0xcf, 0, 0, 0, 0, 0, 0, 0, 0))
	})
	Convey("The version of the routes is decoded again", t, func() {
		req := testDeltaRequest
		req.Routes = 7
		b, err := msgpack.Marshal(req)
		So(err, ShouldBeNil)
		var got deltaRequest
		So(msgpack.Unmarshal(b, &got), ShouldBeNil)
		So(got, ShouldResemble, req)
	})
}

// FuzzDeltaRequest checks that a deltaRequest decoded from any input can be
// encoded.
func FuzzDeltaRequest(f *testing.F) {
	f.Add(messagetest.Golden(f, "question"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got deltaRequest
		if msgpack.Unmarshal(b, &got) != nil {
			return
		}
		if _, err := msgpack.Marshal(got); err != nil {
			t.Fatal(err)
		}
	})
}
