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

// Guards against an oversized body being truncated and run as if it were
// complete.
func TestOversizedBodyIsRefused(t *testing.T) {
	Convey("A body one byte over the limit is refused, one at the limit is passed on complete", t, func() {
		var runs, size atomic.Int64
		tg := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			runs.Add(1)
			size.Store(n)
		}))
		defer tg.Close()
		base := startNode(t, fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect)), "back-1", tg.URL)
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
