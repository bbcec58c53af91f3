package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// A node is paused with a call in its socket and wakes a minute later: the
// call says it has 2 s left, its caller gave up long ago. It must run
// nothing. A call from a node whose clock is a little off still runs.
func TestCallThatWaitedInAPausedProcessRunsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const skew = time.Second
		ran := 0
		h := Chain(HandlerFunc(func(context.Context, *Call) call.Answer { ran++; return call.Answer{Status: call.OK} }), Deadline(skew))
		serve := func(age time.Duration) call.Status {
			r := &call.Request{Remaining: 2 * time.Second, Sent: time.Now().Add(-age)}
			return h.Serve(context.Background(), &Call{Request: r}).Status
		}
		Convey("Lateness beyond the skew uses up the time left", t, func() {
			So(serve(time.Minute), ShouldEqual, call.NotRun)
			So(serve(2*time.Second+skew), ShouldEqual, call.NotRun)
			So(ran, ShouldEqual, 0)
			So(serve(skew), ShouldEqual, call.OK)
			So(serve(-skew), ShouldEqual, call.OK)
		})
	})
}
