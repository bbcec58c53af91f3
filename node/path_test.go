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

// startMesh runs text on free loopback ports until the test ends.
func startMesh(t testing.TB, text []byte) *demo.Mesh {
	t.Helper()
	return startMeshWith(t, demo.Config{Text: text})
}

// startMeshWith runs cfg on free loopback ports, quietly, until the test
// ends.
func startMeshWith(t testing.TB, cfg demo.Config) *demo.Mesh {
	t.Helper()
	cfg.Platform, cfg.AnyPort = "127.0.0.1:0", true
	cfg.Log = quiet()
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

// send posts one call to the first instance of service and returns the
// answer's status and body.
func send(t *testing.T, m *demo.Mesh, service, op, key string) (call.Status, string) {
	t.Helper()
	return callWith(t, entry(m, service, 0), service, op, call.Request{ID: call.RequestID(key), Key: call.Key(key)})
}

func TestPublicationCrossesTheWholeChain(t *testing.T) {
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

// A client retries one publication hard: five tries with the same key, some
// at once. The subscribers must get it once; each try must be told the
// same whole answer.
func TestPublicationRunsAtMostOnceUnderClientRetries(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("Five tries of one key commit versand.dispatch once", t, func() {
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
				commits += tg.Effects()[call.Key(key)+"/freigabe.approve/archiv.store/versand.dispatch"]
			}
		}
		So(commits, ShouldEqual, 1)
		for _, b := range bodies {
			So(b, ShouldEqual, bodies[0])
		}
	})
}

// versand is draining, so the first call of archiv.store is refused. The
// editor is told the publication did not run; nothing of it may have run
// at any target, or a retry later would approve twice.
func TestNotRunMeansNothingRan(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	for name, tg := range m.Targets {
		if strings.HasPrefix(name, "versand") {
			tg.Drain()
		}
	}
	Convey("A refused publication committed nothing anywhere", t, func() {
		st, _ := send(t, m, "entwurf", "publish", "")
		So(st, ShouldEqual, call.NotRun)
		for _, tg := range m.Targets {
			So(tg.Effects(), ShouldBeEmpty)
		}
	})
}

// The deepest of eight services refuses every call, with no come-back time.
// With a retry at every hop, each refusal is retried at each level above it
// and the attempts grow as 2^8. The budget carried with the request must hold the retries
// of the whole request to the text's bound of 3.
func TestRetriesOverEightHopsStayWithinTheBudget(t *testing.T) {
	text, err := os.ReadFile("testdata/chain.ini")
	if err != nil {
		t.Fatal(err)
	}
	m := startMesh(t, text)
	m.Targets["s8-1"].Reject()
	m.Targets["s8-2"].Reject()
	Convey("Retries caused over all hops stay within the budget", t, func() {
		st, _ := send(t, m, "s1", "step", "")
		So(st, ShouldEqual, call.NotRun)
		// Every arrival at s_k but the first comes from a retry at some hop
		// at or above it, and each arrival above s8 calls s8 once, so the
		// retries of the request are the arrivals at s8 less one.
		arrivals := m.Targets["s8-1"].Arrivals() + m.Targets["s8-2"].Arrivals()
		So(arrivals-1, ShouldBeLessThanOrEqualTo, m.Graph.Retries)
	})
}
