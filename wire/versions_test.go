package wire

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/message/messagetest"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// frames are one of each kind with every field set, as the files in
// testdata/former have them from the version before.
var frames = map[string]Frame{
	"request": {Kind: KindRequest, Stream: 300, Config: 42, From: "archiv-1", Request: &call.Request{ID: "r1", Service: "archiv",
		Operation: "read", Key: "k", Remaining: time.Second, To: "i-1", Sent: time.Unix(1788000000, 5000).UTC(), Budget: 3, Passed: []string{"i-2"}, Body: []byte("body"),
		HTTP: &call.HTTPRequest{Method: "GET", Host: "h", URI: "/x?y", Header: []call.Field{{Name: "A", Value: "b"}}, Caller: "entwurf",
			Level: 33, Begun: true, Repeat: true, Idempotent: true, Patience: time.Millisecond}}},
	"answer": {Kind: KindAnswer, Stream: 300, Config: 42, Answer: &call.Answer{ID: "r1", Status: call.OK, Reason: "why", RetryAfter: time.Second,
		RetriesUsed: 1, Leaving: true, Declined: true, Body: []byte("body"), HTTP: &call.HTTPAnswer{Code: 200, Header: []call.Field{{Name: "A", Value: "b"}}},
		Reached: true, Load: &call.Load{Busy: 1, Queued: 2, Limit: 3, Admit: 4, Failing: 0.5, Scarce: time.Second, Slow: 1.5, Binds: "entwurf"},
		Ended: &call.End{ID: 9, Alone: true}, Held: true, News: []byte("news")}},
	"ping": {Kind: KindPing, Stream: 7},
}

// Half of the nodes run the version before while they are upgraded. It reads
// frames with exactly its own fields only: a field that it does not know may be
// sent only when it is set, and what sets it must not be used while it runs.
func TestFramesOfTheVersionBeforeAreOurs(t *testing.T) {
	for name, f := range frames {
		Convey("Its "+name+" is read whole, and ours is the same to it", t, func() {
			former := messagetest.Former(t, name)
			var got Frame
			So(msgpack.Unmarshal(former, &got), ShouldBeNil)
			if got.Request != nil {
				got.Request.Sent = got.Request.Sent.UTC()
			}
			So(got, ShouldResemble, f)
			ours, err := msgpack.Marshal(&f)
			So(err, ShouldBeNil)
			So(ours, ShouldResemble, former)
		})
	}
}

// FuzzFrame: whatever a peer sends, reading it ends in a frame that can be sent
// again as it is, or in an error.
func FuzzFrame(f *testing.F) {
	for name := range frames {
		f.Add(messagetest.Former(f, name))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Frame
		if msgpack.Unmarshal(b, &got) != nil {
			return
		}
		out, err := msgpack.Marshal(&got)
		if err != nil {
			t.Fatal(err)
		}
		var again Frame
		if err := msgpack.Unmarshal(out, &again); err != nil {
			t.Fatalf("%x is read, and not when it is sent again: %v", b, err)
		}
	})
}
