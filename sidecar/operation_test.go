package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// An operator calls a route by the name of a question that nodes ask each
// other. Its callers would get a node's snapshot, or a refusal, instead of
// their answer.
func TestRouteMayShareNameWithNodeOperation(t *testing.T) {
	m := newMesh(t, "archiv")
	Convey("Its requests go to the target all the same", t, func() {
		v := m.vms[0]
		for _, name := range []string{sinceOperation, vouchOperation} {
			r := call.Request{ID: requestID("named-" + name), Operation: name, To: string(v.self.ID), Remaining: time.Second,
				HTTP: &call.HTTPRequest{Method: http.MethodGet, Host: "h", URI: "/read/x", Idempotent: true,
					Header: []call.Field{{Name: testHeaders.RequestID, Value: "named-" + name}}}}
			a := v.node.servePeer(context.Background(), r)
			So(a.Status, ShouldEqual, call.OK)
			So(v.target.runCount("named-"+name), ShouldEqual, 1)
		}
	})
}
