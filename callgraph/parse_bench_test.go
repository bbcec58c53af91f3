package callgraph

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// generateConfig returns a configuration in which each service has two
// operations, depends on the next service, and has an equal share of the
// instances, spread over six data centres.
func generateConfig(services, instances int) []byte {
	var b strings.Builder
	b.WriteString("version = 1\nretries = 3\n")
	for s := range services {
		fmt.Fprintf(&b, "\n[service.svc-%03d]\nslots = 110\nconnections = 750\n", s)
		if s+1 < services {
			fmt.Fprintf(&b, "depends_on = svc-%03d\n", s+1)
		}
		for i := range instances / services {
			fmt.Fprintf(&b, "\n[service.svc-%03d.instance.svc-%03d-%d]\ndc = dc-%d\nhttp = 10.%d.%d.%d:7100\npeer = 10.%d.%d.%d:7200\n",
				s, s, i, i%6, s, i, 1, s, i, 1)
		}
		fmt.Fprintf(&b, "\n[service.svc-%03d.operation.read]\nclass = sheddable\nidempotent = true\ndeadline = 800ms\nretries = 1\n", s)
		fmt.Fprintf(&b, "\n[service.svc-%03d.operation.write]\nclass = critical\nidempotent = false\ndeadline = 2s\n", s)
		if s+1 < services {
			fmt.Fprintf(&b, "calls = svc-%03d.write\n", s+1)
		}
	}
	return []byte(b.String())
}

// BenchmarkParse parses a configuration of 120 services and 1,100 instances,
// as each node does once per accepted change.
func BenchmarkParse(b *testing.B) {
	text := generateConfig(120, 1100)
	if _, err := Parse(text); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		Parse(text)
	}
	b.ReportMetric(float64(len(text)), "B/text")
}

// BenchmarkGraphMemory reports the heap size of one parsed configuration. A node
// keeps a replaced one while calls made under it may still be retried.
func BenchmarkGraphMemory(b *testing.B) {
	const graphs = 20
	text := generateConfig(120, 1100)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		gs := make([]*Graph, graphs)
		for i := range gs {
			gs[i], _ = Parse(bytes.Clone(text))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/graphs, "B/graph")
		runtime.KeepAlive(gs)
	}
}

// BenchmarkInstance looks up one instance, as a node does for every call that
// enters the mesh through it.
func BenchmarkInstance(b *testing.B) {
	g, err := Parse(generateConfig(120, 1100))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Instance("svc-077-4")
	}
}
