package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// One of two instances turns forty times slower. Callers have 300 ms, and
// what goes to the slow one is answered 504 at the end of it, with no time
// left for the other. Its node knows from the requests that hang there, and
// sends what comes later on at once.
func TestSlowTargetIsSkippedWhenDeadlineIsTooShort(t *testing.T) {
	m := newMesh(t, "versand", "archiv", "archiv")
	slow := m.vms[1]
	usual := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(20 * time.Millisecond)
		writeSigned(w, r, http.StatusOK, "")
	}
	for _, v := range m.vms[1:] {
		v.target.handleWith(usual)
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
	var hang sync.WaitGroup
	for range 8 {
		hang.Go(func() {
			slow.node.serveLocal(t.Context(), call.Request{ID: "hang", Operation: "read", To: string(slow.self.ID), Remaining: 2 * time.Second,
				HTTP: &call.HTTPRequest{Method: http.MethodGet, Host: "h", URI: "/read/x", Idempotent: true}})
		})
	}
	Convey("Nothing fails after half a second", t, func() {
		time.Sleep(400 * time.Millisecond)
		for range 20 {
			So(read("300"), ShouldEqual, http.StatusOK)
		}
	})
	hang.Wait()
}
