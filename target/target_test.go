package target

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// small is a target with one slot and the given connections.
func small(connections int, lag time.Duration) *Target {
	g := &callgraph.Graph{Services: map[string]*callgraph.Service{"archiv": {Slots: 1, Connections: connections}}}
	return New(Config{Service: "archiv", Graph: g, HealthLag: lag})
}

// A target drains, but its health endpoint still shows the load of a moment
// ago: whoever trusts it sends work to a target that is leaving.
func TestHealthLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := small(1, 2*time.Second)
		draining := func() bool {
			w := httptest.NewRecorder()
			tg.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
			var h Health
			json.Unmarshal(w.Body.Bytes(), &h)
			return h.Draining
		}
		Convey("A drain shows only once the lag has passed", t, func() {
			So(draining(), ShouldBeFalse)
			tg.Drain()
			time.Sleep(time.Second)
			So(draining(), ShouldBeFalse)
			time.Sleep(time.Second)
			So(draining(), ShouldBeTrue)
		})
	})
}

// A target holds no more connections than the text gives it: one more is
// not served until another closes.
func TestConnectionsAreLimited(t *testing.T) {
	Convey("The second connection waits for the first to close", t, func() {
		tg := small(1, 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := &http.Server{Handler: tg.Handler()}
		go srv.Serve(tg.Limit(l))
		defer srv.Close()
		first, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		time.Sleep(50 * time.Millisecond) // accepted
		client := &http.Client{Timeout: 200 * time.Millisecond}
		_, err = client.Get("http://" + l.Addr().String() + "/health")
		So(err, ShouldNotBeNil)
		first.Close()
		client.Timeout = 5 * time.Second
		resp, err := client.Get("http://" + l.Addr().String() + "/health")
		So(err, ShouldBeNil)
		resp.Body.Close()
	})
}
