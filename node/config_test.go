package node

import (
	"fmt"
	"sync"
	"testing"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/settings"
	"pgregory.net/rapid"
)

// Guards against an older configuration replacing a newer one when several
// are applied concurrently, as after a pause of the process.
func TestApplyNeverGoesBack(t *testing.T) {
	base, err := callgraph.Parse(examples.KesslerRaab)
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(t *rapid.T) {
		n := New(Config{Settings: nodeSettings("archiv-1")})
		versions := rapid.SliceOfN(rapid.Uint64Range(1, 50), 1, 40).Draw(t, "versions")
		var wg sync.WaitGroup
		seen := make(chan callgraph.Version, len(versions))
		for _, v := range versions {
			g := *base
			g.Version = callgraph.Version(v)
			wg.Add(1)
			go func() {
				defer wg.Done()
				n.Apply(&g)
				seen <- n.Graph().Version
			}()
		}
		wg.Wait()
		close(seen)
		var newest uint64
		for _, v := range versions {
			newest = max(newest, v)
		}
		if got := uint64(n.Graph().Version); got != newest {
			t.Fatalf("active version %d, want %d", got, newest)
		}
		if got := uint64(n.table.Version()); got != newest {
			t.Fatalf("routing table at version %d, want %d", got, newest)
		}
		if s, _, _ := n.Graph().Instance("archiv-1"); s == nil || n.admission.InFlight() != 0 {
			t.Fatalf("active configuration lacks archiv-1 or its admission has calls in flight")
		}
	})
}

func nodeSettings(instance string) (s settings.Node) {
	s.Instance = instance
	s.DC = "halle-nord"
	s.HTTP = "127.0.0.1:0"
	s.Peer = "127.0.0.1:0"
	s.Target = "http://127.0.0.1:1"
	s.ConfigServiceURL = fmt.Sprintf("http://127.0.0.1:%d", 1)
	return s
}
