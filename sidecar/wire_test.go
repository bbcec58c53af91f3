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

// The encoding of a deltaRequest must match that of the previous version.
func TestDeltaRequestWireCompatibility(t *testing.T) {
	Convey("Decoding and encoding match the recorded bytes", t, func() {
		var got deltaRequest
		So(msgpack.Unmarshal(messagetest.Golden(t, "question"), &got), ShouldBeNil)
		So(got, ShouldResemble, testDeltaRequest)
		ours, err := msgpack.Marshal(testDeltaRequest)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Golden(t, "question"))
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
