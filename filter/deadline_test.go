package filter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a node that resumes after a pause running calls whose
// callers have given up. Delays within the clock skew must not cause a
// refusal.
func TestDeadlineRejectsCallDelayedByPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const skew = time.Second
		executed := 0
		h := Chain(HandlerFunc(func(context.Context, *Call) call.Answer { executed++; return call.Answer{Status: call.OK} }), Deadline(skew))
		serve := func(age time.Duration) call.Status {
			r := &call.Request{Remaining: 2 * time.Second, Sent: time.Now().Add(-age)}
			return h.Serve(context.Background(), &Call{Request: r}).Status
		}
		Convey("Delay beyond the clock skew is deducted from the remaining time", t, func() {
			So(serve(time.Minute), ShouldEqual, call.NotRun)
			So(serve(2*time.Second+skew), ShouldEqual, call.NotRun)
			So(executed, ShouldEqual, 0)
			So(serve(skew), ShouldEqual, call.OK)
			So(serve(-skew), ShouldEqual, call.OK)
		})
	})
}
