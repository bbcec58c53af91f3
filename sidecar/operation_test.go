package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// A route may have the name of a node operation. Its requests must still
// reach the target.
func TestRouteMayShareNameWithNodeOperation(t *testing.T) {
	m := newMesh(t, "archiv")
	Convey("Requests of the route reach the target", t, func() {
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
