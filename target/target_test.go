package target

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// newTestTarget returns a target with one slot and the given connection limit.
func newTestTarget(connections int, healthLag time.Duration) *Target {
	g := &callgraph.Graph{Services: map[string]*callgraph.Service{"archiv": {Slots: 1, Connections: connections}}}
	return New(Config{Service: "archiv", Graph: g, HealthLag: healthLag})
}

// Guards the simulated staleness of the health endpoint: a drain must not be
// visible there before the configured lag has passed.
func TestHealthIsStaleWithinLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestTarget(1, 2*time.Second)
		draining := func() bool {
			w := httptest.NewRecorder()
			tg.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/health", nil))
			var h Health
			json.Unmarshal(w.Body.Bytes(), &h)
			return h.Draining
		}
		Convey("A drain is reported only after the health lag", t, func() {
			So(draining(), ShouldBeFalse)
			tg.Drain()
			time.Sleep(time.Second)
			So(draining(), ShouldBeFalse)
			time.Sleep(time.Second)
			So(draining(), ShouldBeTrue)
		})
	})
}

// Guards against serving more concurrent connections than configured: a further
// one is served only after another has closed.
func TestConnectionLimit(t *testing.T) {
	Convey("The second connection is served only after the first closes", t, func() {
		tg := newTestTarget(1, 0)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		srv := &http.Server{Handler: tg.Handler()}
		go srv.Serve(tg.LimitConnections(l))
		defer srv.Close()
		first, err := net.Dial("tcp", l.Addr().String())
		So(err, ShouldBeNil)
		time.Sleep(50 * time.Millisecond) // wait for the server to accept it
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

// Guards against a part of a dependency's answer that is taken as the whole one.
func TestDependencyAnswerThatBreaksOffIsUnknown(t *testing.T) {
	Convey("The node's answer is shorter than it states", t, func() {
		node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(call.HeaderStatus, string(call.OK))
			w.Header().Set("Content-Length", "12")
			w.Write([]byte("short"))
		}))
		defer node.Close()
		tg := newTestTarget(1, 0)
		tg.cfg.NodeURL = node.URL
		_, status, _ := tg.callDependency(t.Context(), http.Header{}, callgraph.Ref{Service: "archiv", Operation: "store"}, call.Request{ID: "r1"}, 0)
		So(status, ShouldEqual, call.Unknown)
	})
}
