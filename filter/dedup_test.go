package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against retained answers exhausting the node's memory, and against
// an evicted answer causing its key to run again.
func TestDedupBoundsRetainedAnswers(t *testing.T) {
	Convey("Beyond the limit the oldest answer is evicted and its key does not run again", t, func() {
		executions := map[call.Key]int{}
		d := NewDedup(time.Hour, 2*(1000+answerOverheadBytes))
		h := Chain(HandlerFunc(func(_ context.Context, c *Call) call.Answer {
			executions[c.Request.Key]++
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
		So(executions, ShouldResemble, map[call.Key]int{"a": 1, "b": 1, "c": 1})
	})
}

// Guards against callers that wait until their deadline for the answer to a key
// whose run panicked.
func TestDuplicateOfPanickedRunIsAnsweredAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Duplicates are told that the call may have run, and it does not run again", t, func() {
			runs := 0
			h := Chain(HandlerFunc(func(context.Context, *Call) call.Answer {
				runs++
				time.Sleep(time.Second)
				panic("in the run")
			}), NewDedup(time.Hour, 1<<20).Filter())
			send := func(id call.RequestID) call.Answer {
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				return h.Serve(ctx, &Call{Request: &call.Request{ID: id, Key: "k"}, Op: &callgraph.Operation{}})
			}
			began := time.Now()
			during := make(chan call.Answer, 1)
			go func() {
				time.Sleep(time.Millisecond)
				during <- send("during")
			}()
			So(func() { send("first") }, ShouldPanic)
			for _, a := range []call.Answer{<-during, send("after")} {
				So(a.Status, ShouldEqual, call.Unknown)
			}
			So(time.Since(began), ShouldEqual, time.Second)
			So(runs, ShouldEqual, 1)
		})
	})
}
