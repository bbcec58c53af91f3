package node_test

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

// startMesh starts the deployment described by text on free loopback ports
// and stops it when the test ends.
func startMesh(t testing.TB, text []byte) *demo.Mesh {
	t.Helper()
	return startMeshWith(t, demo.Config{InitialConfig: text})
}

// startMeshWith is like startMesh, for the deployment that cfg describes.
func startMeshWith(t testing.TB, cfg demo.Config) *demo.Mesh {
	t.Helper()
	cfg.ConfigServiceAddr, cfg.AnyPort = "127.0.0.1:0", true
	cfg.Log = discardLogger()
	m, err := demo.Start(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		m.Stop(ctx)
	})
	return m
}

// send posts one call to the first instance of service and returns the status
// and body of the answer.
func send(t *testing.T, m *demo.Mesh, service, op, key string) (call.Status, string) {
	t.Helper()
	return callWith(t, entryURL(m, service, 0), service, op, call.Request{ID: call.RequestID(key), Key: call.Key(key)})
}

func TestPublicationReachesEveryService(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("A publication passes entwurf, freigabe, archiv and versand", t, func() {
		key := string(call.NewKey("halle-nord"))
		st, body := send(t, m, "entwurf", "publish", key)
		So(st, ShouldEqual, call.OK)
		for _, hop := range []string{"entwurf.publish", "freigabe.approve", "archiv.store", "versand.dispatch"} {
			So(body, ShouldContainSubstring, hop+"("+key+")")
		}
	})
}

// Guards against concurrent client retries with one key running a publication
// more than once or getting different answers.
func TestPublicationRunsAtMostOnceUnderClientRetries(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Five calls with one key run versand.dispatch once", t, func() {
		key := string(call.NewKey("halle-nord"))
		var wg sync.WaitGroup
		bodies := make([]string, 5)
		for i := range bodies {
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, bodies[i] = send(t, m, "entwurf", "publish", key)
			}()
		}
		wg.Wait()
		commits := 0
		for name, tg := range m.Targets {
			if strings.HasPrefix(name, "versand") {
				commits += tg.CommitCounts()[call.Key(key)+"/freigabe.approve/archiv.store/versand.dispatch"]
			}
		}
		So(commits, ShouldEqual, 1)
		for _, b := range bodies {
			So(b, ShouldEqual, bodies[0])
		}
	})
}

// Guards against a NotRun answer for a publication that ran in part, which a
// retry would then run again.
func TestNotRunMeansNothingRan(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	for name, tg := range m.Targets {
		if strings.HasPrefix(name, "versand") {
			tg.Drain()
		}
	}
	Convey("A refused publication takes effect at no target", t, func() {
		st, _ := send(t, m, "entwurf", "publish", "")
		So(st, ShouldEqual, call.NotRun)
		for _, tg := range m.Targets {
			So(tg.CommitCounts(), ShouldBeEmpty)
		}
	})
}

// Guards against retry amplification: with a retry at each of eight hops, the
// attempts at the last service would grow as 2^8.
func TestRetriesOverEightHopsStayWithinBudget(t *testing.T) {
	text, err := os.ReadFile("testdata/chain.ini")
	if err != nil {
		t.Fatal(err)
	}
	m := startMesh(t, text)
	m.Targets["s8-1"].RefuseCalls()
	m.Targets["s8-2"].RefuseCalls()
	Convey("Retries caused over all hops stay within the budget", t, func() {
		st, _ := send(t, m, "s1", "step", "")
		So(st, ShouldEqual, call.NotRun)
		// Every arrival at service s_k but the first is caused by a retry at
		// or above it, and each arrival above s8 calls s8 once, so the
		// retries of the request are the arrivals at s8 minus one.
		arrivals := m.Targets["s8-1"].Arrivals() + m.Targets["s8-2"].Arrivals()
		So(arrivals-1, ShouldBeLessThanOrEqualTo, m.Graph.RetryBudget)
	})
}
