package callgraph

import (
	"bytes"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// sizedText writes a text of the planned size: services with instances
// spread over six data centres, each with two operations and a dependency
// on the next service.
func sizedText(services, instances int) []byte {
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

// BenchmarkParseSized parses a text of the planned size (120 services,
// 1,100 instances) and reports its size: what each node fetches and checks
// once per accepted change.
func BenchmarkParseSized(b *testing.B) {
	text := sizedText(120, 1100)
	if _, err := Parse(text); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		Parse(text)
	}
	b.ReportMetric(float64(len(text)), "B/text")
}

// BenchmarkGraphMemory reports the heap one parsed text of the planned size
// holds; a node keeps those in force over its dedup window.
func BenchmarkGraphMemory(b *testing.B) {
	const graphs = 20
	text := sizedText(120, 1100)
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

// BenchmarkInstance looks one instance up in a text of the planned size, as
// a node does for every call that enters at it.
func BenchmarkInstance(b *testing.B) {
	g, err := Parse(sizedText(120, 1100))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Instance("svc-077-4")
	}
}
