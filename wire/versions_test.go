package wire

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/message/messagetest"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// frames are the decoded golden files in testdata/former, which the previous
// version wrote with every field set.
var frames = map[string]Frame{
	"request": {Kind: KindRequest, Stream: 300, ConfigVersion: 42, From: "archiv-1", Request: &call.Request{ID: "r1", Service: "archiv",
		Operation: "read", Key: "k", Remaining: time.Second, To: "i-1", Sent: time.Unix(1788000000, 5000).UTC(), RetryBudget: 3, DeclinedBy: []string{"i-2"}, Body: []byte("body"),
		HTTP: &call.HTTPRequest{Method: "GET", Host: "h", URI: "/x?y", Header: []call.Field{{Name: "A", Value: "b"}}, Caller: "entwurf",
			Level: 33, Child: true, Retry: true, Idempotent: true, MaxQueueWait: time.Millisecond}}},
	"answer": {Kind: KindAnswer, Stream: 300, ConfigVersion: 42, Answer: &call.Answer{ID: "r1", Status: call.OK, Reason: "why", RetryAfter: time.Second,
		RetriesUsed: 1, Leaving: true, Declined: true, Body: []byte("body"), HTTP: &call.HTTPAnswer{Code: 200, Header: []call.Field{{Name: "A", Value: "b"}}},
		ReachedTarget: true, Load: &call.Load{InFlight: 1, Queued: 2, Limit: 3, Threshold: 4, FailureRate: 0.5, OverloadSlotTime: time.Second, Slowdown: 1.5, Bottleneck: "entwurf"},
		InstanceExit: &call.InstanceExit{ID: 9, Isolated: true}, NoRetry: true, Piggyback: []byte("news")}},
	"ping": {Kind: KindPing, Stream: 7},
}

// During a rolling upgrade, nodes of two versions exchange frames. The previous
// version reads only frames with exactly its own fields, so a new field may be
// sent only if it is set, and must not be set while that version is running.
func TestFramesMatchPreviousVersion(t *testing.T) {
	for name, f := range frames {
		Convey("The previous version's "+name+" is decoded, and encoding it gives the same bytes", t, func() {
			golden := messagetest.Golden(t, name)
			var got Frame
			So(msgpack.Unmarshal(golden, &got), ShouldBeNil)
			if got.Request != nil {
				got.Request.Sent = got.Request.Sent.UTC()
			}
			So(got, ShouldResemble, f)
			encoded, err := msgpack.Marshal(&f)
			So(err, ShouldBeNil)
			So(encoded, ShouldResemble, golden)
		})
	}
}

// Guards against statements of instances that are lost between nodes, or that
// the previous version cannot skip.
func TestExtensionIsLastFieldOfFrame(t *testing.T) {
	for name, f := range map[string]Frame{
		"request": {Kind: KindRequest, Request: &call.Request{ID: "r1", KnownRateLimit: 0.5, KnownUpAt: 1788000000123, AwaitRate: true}},
		"answer":  {Kind: KindAnswer, Answer: &call.Answer{ID: "r1", State: call.InstanceState{RateLimit: 17, Leaving: true, UpAt: 1788000000123}, RateWait: time.Second}},
	} {
		Convey("What the "+name+" states is decoded, and is one more element", t, func() {
			b, err := msgpack.Marshal(&f)
			So(err, ShouldBeNil)
			var got Frame
			So(msgpack.Unmarshal(b, &got), ShouldBeNil)
			if got.Request != nil {
				got.Request.Sent = f.Request.Sent
			}
			So(got, ShouldResemble, f)
			var elements []any
			So(msgpack.Unmarshal(b, &elements), ShouldBeNil)
			So(elements, ShouldHaveLength, frameFields+1)
		})
	}
}

// FuzzFrame checks that decoding arbitrary bytes gives an error or a frame that
// can be encoded and decoded again.
func FuzzFrame(f *testing.F) {
	for name := range frames {
		f.Add(messagetest.Golden(f, name))
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
		var decoded Frame
		if err := msgpack.Unmarshal(out, &decoded); err != nil {
			t.Fatalf("frame decoded from %x cannot be decoded after encoding: %v", b, err)
		}
	})
}
