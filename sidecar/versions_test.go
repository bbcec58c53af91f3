package sidecar

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/message/messagetest"
	"github.com/oatpin/oatpin/quarantine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

var testRequest = deltaRequest{After: 300, Wait: time.Second, Told: &quarantine.Cursor{Epoch: 1 << 60, Seq: 2}}

// A node of the version before asks ours for routes and instances, and ours
// asks it.
func TestDeltaRequestWireCompatibility(t *testing.T) {
	Convey("Its question is read whole, and ours is the same to it", t, func() {
		var got deltaRequest
		So(msgpack.Unmarshal(messagetest.Former(t, "question"), &got), ShouldBeNil)
		So(got, ShouldResemble, testRequest)
		ours, err := msgpack.Marshal(testRequest)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Former(t, "question"))
	})
}

// FuzzQuestion: whatever another node asks is read or is an error.
func FuzzQuestion(f *testing.F) {
	f.Add(messagetest.Former(f, "question"))
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
