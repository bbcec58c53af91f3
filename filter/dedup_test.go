package filter

import (
	"context"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// Actions with large answers come at a high rate: kept for the whole window
// they would take the node's 128 MB many times over, and the kernel would
// kill it. The oldest answers must go, but never the memory that their keys
// ran.
func TestDedupBoundsItsAnswers(t *testing.T) {
	Convey("Past the bound the oldest answer is dropped and its key still not run again", t, func() {
		ran := map[call.Key]int{}
		d := NewDedup(time.Hour, 2*(1000+answerOverhead))
		h := Chain(HandlerFunc(func(_ context.Context, c *Call) call.Answer {
			ran[c.Request.Key]++
			return call.Answer{ID: c.Request.ID, Status: call.OK, Body: make([]byte, 1000)}
		}), d.Filter())
		send := func(key call.Key) call.Answer {
			return h.Serve(context.Background(), &Call{Request: &call.Request{Key: key}, Op: &callgraph.Operation{}})
		}
		for _, key := range []call.Key{"a", "b", "c"} {
			So(send(key).Status, ShouldEqual, call.OK)
		}
		a := send("a")
		So(a.Status, ShouldEqual, call.Unknown)
		So(a.Body, ShouldBeEmpty)
		So(len(send("b").Body), ShouldEqual, 1000)
		So(len(send("c").Body), ShouldEqual, 1000)
		So(ran, ShouldResemble, map[call.Key]int{"a": 1, "b": 1, "c": 1})
	})
}
