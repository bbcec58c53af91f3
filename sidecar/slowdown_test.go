package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// One of two instances becomes forty times slower. Requests with short
// deadlines must go to the other one instead of failing with 504.
func TestSlowTargetIsSkippedWhenDeadlineIsTooShort(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	slow := m.vms[1]
	respond := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		writeSigned(w, r, http.StatusOK, "")
	}
	for _, v := range m.vms[1:] {
		v.target.handleWith(respond)
	}
	read := func(ms string) int {
		_, got := m.send(t.Context(), m.vms[0], http.MethodGet, "/read/x", "", map[string]string{"Deadline-Ms": ms})
		return got.code
	}
	for range 30 {
		read("300")
	}
	slow.target.handleWith(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(800 * time.Millisecond)
		writeSigned(w, r, http.StatusOK, "")
	})
	var hanging sync.WaitGroup
	for range 8 {
		hanging.Go(func() {
			slow.node.serveLocal(t.Context(), call.Request{ID: "hang", Operation: "read", To: string(slow.self.ID), Remaining: 2 * time.Second,
				HTTP: &call.HTTPRequest{Method: http.MethodGet, Host: "h", URI: "/read/x", Idempotent: true}})
		})
	}
	Convey("After half a second all requests succeed", t, func() {
		time.Sleep(400 * time.Millisecond)
		for range 20 {
			So(read("300"), ShouldEqual, http.StatusOK)
		}
	})
	hanging.Wait()
}
