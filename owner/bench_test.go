package owner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/owner"
)

// BenchmarkClaim measures the decision on one key for a service of nine
// instances.
func BenchmarkClaim(b *testing.B) {
	instances := make([]callgraph.Instance, 9)
	for i := range instances {
		instances[i] = callgraph.Instance{Name: fmt.Sprintf("versand-%d", i+1), DC: callgraph.DC(fmt.Sprint(i % 6))}
	}
	a := owner.NewArbiter(owner.Config{Instance: "versand-1", DedupWindow: time.Hour})
	a.SetGraph(&callgraph.Graph{Version: 1, Services: map[string]*callgraph.Service{"versand": {Instances: instances}}})
	a.SetVMListRead()
	key := call.NewKey("0")
	b.ReportAllocs()
	for b.Loop() {
		a.Claim("versand", key, nil)
	}
}
