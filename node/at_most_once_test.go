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

// dispatchKey returns the idempotency key of a publication's dispatch call.
func dispatchKey(publication call.Key) call.Key {
	return publication + "/freigabe.approve/archiv.store/versand.dispatch"
}

// dispatchCount returns how often the dispatch with key took effect, over all
// targets.
func dispatchCount(m *demo.Mesh, key call.Key) int {
	n := 0
	for name, tg := range m.Targets {
		if strings.HasPrefix(name, "versand") {
			n += tg.CommitCounts()[key]
		}
	}
	return n
}

func entryURL(m *demo.Mesh, service string, i int) string {
	return "http://" + m.Graph.Services[service].Instances[i].HTTP
}

// Guards against a restarted node, whose dedup window is empty, running a key
// again or answering NotRun for a key that ran before the restart.
func TestRestartedNodeDoesNotRerunKey(t *testing.T) {
	Convey("A key created before the restart is answered unknown, a later one runs", t, func() {
		var runs atomic.Int32
		tg := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) }))
		defer tg.Close()
		g := fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect))
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

// Guards against a key running again at another instance when the owner that
// ran it is leaving: the owner must answer from its dedup window, and new
// keys must run elsewhere at once.
func TestLeavingOwnerAnswersFromDedup(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("The leaving owner answers a key that it ran; a new key runs at another instance", t, func() {
		key := call.NewKey("halle-nord")
		st := callKeyed(t, entryURL(m, "entwurf", 0), "versand", "dispatch", key)
		So(st, ShouldEqual, call.OK)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go m.Nodes["versand-1"].Shutdown(ctx)
		for m.Nodes["versand-1"].Ready() {
		}
		for i := range 3 {
			st = callKeyed(t, entryURL(m, "entwurf", i), "versand", "dispatch", key)
			So(st, ShouldEqual, call.OK)
		}
		So(dispatchCount(m, key), ShouldEqual, 1)

		next := call.NewKey("halle-nord")
		st = callKeyed(t, entryURL(m, "entwurf", 0), "versand", "dispatch", next)
		So(st, ShouldEqual, call.OK)
		So(dispatchCount(m, next), ShouldEqual, 1)
		So(m.Targets["versand-1"].CommitCounts()[next], ShouldEqual, 0)
	})
}

// Guards against a data centre that is partitioned from the others and the
// configuration service failing its own calls, and against its publications
// running a second time in another data centre.
func TestPartitionedDCServesLocalCalls(t *testing.T) {
	c := &partition{dc: "halle-nord", dcByAddr: map[string]callgraph.DC{}}
	m := startMeshWith(t, demo.Config{InitialConfig: examples.KesslerRaab, Dial: c.dial})
	for _, s := range m.Graph.Services {
		for _, in := range s.Instances {
			c.dcByAddr[in.Peer] = in.DC
		}
	}
	Convey("Before the partition, publications from every data centre run", t, func() {
		So(publish(t, m, 30), ShouldEqual, 30)
	})
	c.active.Store(true)
	m.ConfigService.SetMode(configservice.ModeDown)
	Convey("During the partition, every data centre serves its own calls", t, func() {
		So(publish(t, m, 60), ShouldEqual, 60)
		for i := range 30 {
			st := callOp(t, entryURL(m, "entwurf", i%3), "entwurf", "read_draft")
			So(st, ShouldEqual, call.OK)
		}
	})
	key := call.NewKey("halle-nord")
	Convey("A publication of halle-nord does not run again in another data centre", t, func() {
		st := callKeyed(t, entryURL(m, "entwurf", 0), "entwurf", "publish", key)
		So(st, ShouldEqual, call.OK)
		st = callKeyed(t, entryURL(m, "entwurf", 1), "entwurf", "publish", key)
		So(st, ShouldEqual, call.NotRun)
		So(dispatchCount(m, dispatchKey(key)), ShouldEqual, 1)
	})
	c.active.Store(false)
	Convey("After the partition the other data centre gets the answer of the first execution", t, func() {
		time.Sleep(time.Second) // nodes in halle-sued skip an instance for 1 s after a failed dial
		st := callKeyed(t, entryURL(m, "entwurf", 1), "entwurf", "publish", key)
		So(st, ShouldEqual, call.OK)
		So(dispatchCount(m, dispatchKey(key)), ShouldEqual, 1)
		So(publish(t, m, 30), ShouldEqual, 30)
	})
}

// Guards against running a call whose key has no creation time, without which
// at-most-once execution cannot be ensured.
func TestMalformedKeyIsRefused(t *testing.T) {
	Convey("A key that is not HOME.UUIDv7 is a bad request", t, func() {
		g := fakeGraph(t, "idempotent = false", startFakePeer(t, disconnect))
		base := startNode(t, g, "back-1", "http://127.0.0.1:1")
		req, _ := http.NewRequest(http.MethodPost, base+"/v1/call/back/op", nil)
		req.Header.Set(call.HeaderIdempotencyKey, "release-4711")
		resp, err := http.DefaultClient.Do(req)
		So(err, ShouldBeNil)
		resp.Body.Close()
		So(resp.StatusCode, ShouldEqual, http.StatusBadRequest)
	})
}
