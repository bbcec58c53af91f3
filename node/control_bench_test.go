package node_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
)

// countedConn counts the bytes that cross a connection both ways.
type countedConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	c.n.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkControlBytes reports the HTTP bytes, both ways and without TCP's
// own, of the control messages that carry no change: one comparison of texts
// between two nodes, and one watch of the VM list at the platform.
func BenchmarkControlBytes(b *testing.B) {
	m := startMeshWith(b, demo.Config{Text: examples.KesslerRaab})
	var n atomic.Int64
	client := &http.Client{Transport: &http.Transport{Dial: func(network, addr string) (net.Conn, error) {
		nc, err := net.Dial(network, addr)
		return countedConn{nc, &n}, err
	}}}
	version := strconv.FormatUint(uint64(m.Graph.Version), 10)
	exchange := "http://" + m.Graph.Services["archiv"].Instances[0].HTTP + "/v1/config?from=archiv-2&after=" + version
	watch := m.PlatformURL + "/v1/vms?after=1&wait=1ms"
	for b.Loop() {
		b.ReportMetric(float64(countBytes(b, client, &n, exchange)), "B/exchange")
		b.ReportMetric(float64(countBytes(b, client, &n, watch)), "B/vm-watch")
	}
}

// countBytes returns what one GET of url adds to n.
func countBytes(b *testing.B, client *http.Client, n *atomic.Int64, url string) int64 {
	before := n.Load()
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return n.Load() - before
}
