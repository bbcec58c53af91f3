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

// byteCountingConn counts the bytes read and written on a connection.
type byteCountingConn struct {
	net.Conn
	counter *atomic.Int64
}

func (c byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(int64(n))
	return n, err
}

func (c byteCountingConn) Write(p []byte) (int, error) {
	c.counter.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// BenchmarkControlBytes reports the HTTP bytes in both directions, without TCP
// overhead, of control messages without a change: one configuration exchange
// between nodes, and one watch of the VM list at the configuration service.
func BenchmarkControlBytes(b *testing.B) {
	m := startMeshWith(b, demo.Config{InitialConfig: examples.KesslerRaab})
	var counter atomic.Int64
	client := &http.Client{Transport: &http.Transport{Dial: func(network, addr string) (net.Conn, error) {
		nc, err := net.Dial(network, addr)
		return byteCountingConn{nc, &counter}, err
	}}}
	version := strconv.FormatUint(uint64(m.Graph.Version), 10)
	exchange := "http://" + m.Graph.Services["archiv"].Instances[0].HTTP + "/v1/config?from=archiv-2&after=" + version
	watch := m.ConfigServiceURL + "/v1/vms?after=1&wait=1ms"
	for b.Loop() {
		b.ReportMetric(float64(requestBytes(b, client, &counter, exchange)), "B/exchange")
		b.ReportMetric(float64(requestBytes(b, client, &counter, watch)), "B/vm-watch")
	}
}

// requestBytes returns the bytes that one GET of url adds to counter.
func requestBytes(b *testing.B, client *http.Client, counter *atomic.Int64, url string) int64 {
	before := counter.Load()
	resp, err := client.Get(url)
	if err != nil {
		b.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return counter.Load() - before
}
