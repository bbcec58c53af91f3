package node_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

// dispatchOf returns the key under which a publication's dispatch runs.
func dispatchOf(publication call.Key) call.Key {
	return publication + "/freigabe.approve/archiv.store/versand.dispatch"
}

// dispatched returns how often the dispatch with key reached subscribers.
func dispatched(m *demo.Mesh, key call.Key) int {
	n := 0
	for name, tg := range m.Targets {
		if strings.HasPrefix(name, "versand") {
			n += tg.Effects()[key]
		}
	}
	return n
}

func entry(m *demo.Mesh, service string, i int) string {
	return "http://" + m.Graph.Services[service].Instances[i].HTTP
}

// A node is killed after its target ran an approval, and its answer is
// lost. The client sends the approval again to the restarted node, whose
// dedup window is empty: it must not run a second time, and the client must
// not be told that it did not run. The next approval runs as usual.
func TestRestartedNodeRunsNoKeyAgain(t *testing.T) {
	Convey("A key made before the node started is unknown, a later one runs", t, func() {
		var runs atomic.Int32
		tg := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		defer tg.Close()
		g := fakeText(t, "idempotent = false", startFakePeer(t, breaksOff))
		base := startNode(t, g, "back-1", tg.URL)
		key := call.NewKey("halle-nord")
		st := callKeyed(t, base, "back", "op", key)
		So(st, ShouldEqual, call.OK)

		restarted := startNode(t, g, "back-1", tg.URL)
		st = callKeyed(t, restarted, "back", "op", key)
		So(st, ShouldEqual, call.Unknown)
		So(runs.Load(), ShouldEqual, 1)
		st = callKeyed(t, restarted, "back", "op", call.NewKey("halle-nord"))
		So(st, ShouldEqual, call.OK)
	})
}

// A dispatch runs, its answer is lost, and the node that ran it starts to
// leave. The dispatch is sent again through nodes of all data centres: each
// must get the first run's answer, and a new one must run at another
// instance at once.
func TestLeavingOwnerStillAnswersForItsKeys(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("A key that ran at a leaving instance is answered from there", t, func() {
		key := call.NewKey("halle-nord")
		st := callKeyed(t, entry(m, "entwurf", 0), "versand", "dispatch", key)
		So(st, ShouldEqual, call.OK)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go m.Nodes["versand-1"].Shutdown(ctx)
		for m.Nodes["versand-1"].Ready() {
		}
		for i := range 3 {
			st = callKeyed(t, entry(m, "entwurf", i), "versand", "dispatch", key)
			So(st, ShouldEqual, call.OK)
		}
		So(dispatched(m, key), ShouldEqual, 1)

		next := call.NewKey("halle-nord")
		st = callKeyed(t, entry(m, "entwurf", 0), "versand", "dispatch", next)
		So(st, ShouldEqual, call.OK)
		So(dispatched(m, next), ShouldEqual, 1)
		So(m.Targets["versand-1"].Effects()[next], ShouldEqual, 0)
	})
}

// halle-nord is cut off from the other halls and from the platform; open
// connections go silent. Editors in halle-nord go on publishing and
// reading through their own instances. A client that sent a publication to
// halle-nord and tries again through halle-sued must not get it run there.
func TestCutOffDataCentreServesItsOwn(t *testing.T) {
	c := &cut{dc: "halle-nord", in: map[string]callgraph.DC{}}
	m := startMeshWith(t, demo.Config{Text: examples.KesslerRaab, Dial: c.dial})
	for _, s := range m.Graph.Services {
		for _, in := range s.Instances {
			c.in[in.Peer] = in.DC
		}
	}
	Convey("Before the cut, publications from every hall run", t, func() {
		So(publish(t, m, 30), ShouldEqual, 30)
	})
	c.on.Store(true)
	m.Platform.SetMode(configservice.ModeDown)
	Convey("During the cut, all halls serve their own work", t, func() {
		So(publish(t, m, 60), ShouldEqual, 60)
		for i := range 30 {
			st := callOp(t, entry(m, "entwurf", i%3), "entwurf", "read_draft")
			So(st, ShouldEqual, call.OK)
		}
	})
	key := call.NewKey("halle-nord")
	Convey("A publication of halle-nord is not run again by another hall", t, func() {
		st := callKeyed(t, entry(m, "entwurf", 0), "entwurf", "publish", key)
		So(st, ShouldEqual, call.OK)
		st = callKeyed(t, entry(m, "entwurf", 1), "entwurf", "publish", key)
		So(st, ShouldEqual, call.NotRun)
		So(dispatched(m, dispatchOf(key)), ShouldEqual, 1)
	})
	c.on.Store(false)
	Convey("After the cut the second hall gets the first run's answer", t, func() {
		time.Sleep(time.Second) // halle-sued avoids instances it could not dial for 1 s
		st := callKeyed(t, entry(m, "entwurf", 1), "entwurf", "publish", key)
		So(st, ShouldEqual, call.OK)
		So(dispatched(m, dispatchOf(key)), ShouldEqual, 1)
		So(publish(t, m, 30), ShouldEqual, 30)
	})
}

// A caller sends a key that cannot be dated: taking it would give up the
// promise, so it gets a clear error and nothing runs.
func TestMalformedKeyIsRefused(t *testing.T) {
	Convey("A key that is not HOME.UUIDv7 is a bad request", t, func() {
		g := fakeText(t, "idempotent = false", startFakePeer(t, breaksOff))
		base := startNode(t, g, "back-1", "http://127.0.0.1:1")
		req, _ := http.NewRequest(http.MethodPost, base+"/v1/call/back/op", nil)
		req.Header.Set(call.HeaderKey, "release-4711")
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
	})
}
