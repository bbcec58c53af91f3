package node_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// An editor sends a note larger than the limit. Cut to the limit and passed
// on it would be published in part, and answered as if it were whole.
func TestOversizedBodyIsRefusedWhole(t *testing.T) {
	Convey("A body one byte over the limit runs nothing, one at the limit runs whole", t, func() {
		var runs, size atomic.Int64
		tg := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			runs.Add(1)
			size.Store(n)
		}))
		defer tg.Close()
		base := startNode(t, fakeText(t, "idempotent = false", startFakePeer(t, breaksOff)), "back-1", tg.URL)
		post := func(n int) int {
			resp, err := http.Post(base+"/v1/call/back/op", "", bytes.NewReader(make([]byte, n)))
			So(err, ShouldBeNil)
			resp.Body.Close()
			return resp.StatusCode
		}
		So(post(1<<20+1), ShouldEqual, http.StatusRequestEntityTooLarge)
		So(runs.Load(), ShouldEqual, 0)
		So(post(1<<20), ShouldEqual, http.StatusOK)
		So(size.Load(), ShouldEqual, 1<<20)
	})
}
