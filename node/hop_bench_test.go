package node_test

import (
	"io"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// BenchmarkHop measures the latency of a call to the target of service b:
// directly over HTTP, through b's node, and through a's and b's nodes, the
// path of calls between services. The last minus the first is the overhead
// per hop.
func BenchmarkHop(b *testing.B) {
	text, err := os.ReadFile("testdata/hop.ini")
	if err != nil {
		b.Fatal(err)
	}
	m := startMesh(b, text)
	bIn := m.Graph.Services["b"].Instances[0]
	aIn := m.Graph.Services["a"].Instances[0]
	paths := []struct{ name, url string }{
		{"direct", m.TargetURL("b-1") + "/v1/step"},
		{"local-node", "http://" + bIn.HTTP + "/v1/call/b/step"},
		{"peer-hop", "http://" + aIn.HTTP + "/v1/call/b/step"},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	for _, p := range paths {
		b.Run(p.name, func(b *testing.B) {
			h := hdrhistogram.New(1, 10_000_000, 3)
			cpu := cpuTime()
			for b.Loop() {
				start := time.Now()
				resp, err := client.Post(p.url, "", nil)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatalf("%s: %s", p.name, resp.Status)
				}
				h.RecordValue(time.Since(start).Microseconds())
			}
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
		})
	}
}

// cpuTime returns the user and system time of the process, which runs the
// client, nodes and targets; compare paths by the difference.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
