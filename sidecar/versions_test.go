package sidecar

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/message/messagetest"
	"github.com/oatpin/oatpin/quarantine"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

var asked = question{After: 300, Wait: time.Second, Told: &quarantine.Cursor{Epoch: 1 << 60, Seq: 2}}

// A node of the version before asks ours for routes and instances, and ours
// asks it.
func TestQuestionsOfTheVersionBeforeAreOurs(t *testing.T) {
	Convey("Its question is read whole, and ours is the same to it", t, func() {
		var got question
		So(msgpack.Unmarshal(messagetest.Former(t, "question"), &got), ShouldBeNil)
		So(got, ShouldResemble, asked)
		ours, err := msgpack.Marshal(asked)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Former(t, "question"))
	})
}

// FuzzQuestion: whatever another node asks is read or is an error.
func FuzzQuestion(f *testing.F) {
	f.Add(messagetest.Former(f, "question"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got question
		if msgpack.Unmarshal(b, &got) != nil {
			return
		}
		if _, err := msgpack.Marshal(got); err != nil {
			t.Fatal(err)
		}
	})
}
