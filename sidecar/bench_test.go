package sidecar

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
)

type (
	// benchRequest is a kind of request to be benchmarked.
	benchRequest struct {
		name, method, path string
		body, answer       int // in bytes
		code               int // expected status code
	}

	// admitLevelZero refuses new requests above level 0.
	admitLevelZero struct{}
)

var (
	benchRead    = benchRequest{"get_1.5kB", "GET", "/read/leny950/2f", 0, 1500, 200}
	benchPublish = benchRequest{"put_6kB", "PUT", "/publish/leny950/2f", 300, 6000, 200}
	benchRefused = benchRequest{"get", "GET", "/read/leny950/2f", 0, 0, 503}
)

func (admitLevelZero) Threshold(string) call.Level { return 0 }

// BenchmarkRequest measures a request through two nodes to the target of the
// second, with minimal callers and targets. The CPU time covers the whole
// process, including callers and targets, and the kernel.
func BenchmarkRequest(b *testing.B) {
	for _, k := range []benchRequest{benchRead, benchPublish} {
		for _, callers := range []int{1, 50, 500} {
			b.Run(fmt.Sprintf("%s/callers=%d", k.name, callers), func(b *testing.B) { benchMesh(b).runLoad(b, k, callers) })
		}
	}
}

// BenchmarkRefused measures a request that is refused at the entry node.
func BenchmarkRefused(b *testing.B) {
	m := benchMesh(b)
	m.vms[0].node.admission = admitLevelZero{}
	m.runLoad(b, benchRefused, 50)
}

// benchMesh starts two nodes; the second's target serves all requests.
func benchMesh(b *testing.B) *mesh {
	m := &mesh{t: b, port: freePort(b), serve: serveMinimal}
	m.populate([]string{"entwurf", "archiv"})
	for _, v := range m.vms {
		v.node.gate.SetLimit(1000)
		v.node.meter.SetSlots(1000)
	}
	return m
}

// runLoad sends b.N requests from concurrent callers on the first VM.
func (m *mesh) runLoad(b *testing.B, req benchRequest, callers int) {
	var left, sent atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	began := cpuTime()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c, err := net.Dial("tcp", m.vms[0].node.cfg.CallerAddr)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for left.Add(-1) >= 0 {
				id := "c" + strconv.Itoa(i) + "r" + strconv.FormatInt(sent.Add(1), 10)
				if code, err := roundTrip(c, in, req, id); err != nil || code != req.code {
					b.Errorf("%d, %v", code, err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// roundTrip sends a request and reads the response.
func roundTrip(c net.Conn, in *bufio.Reader, req benchRequest, id string) (code int, err error) {
	head := req.method + " " + req.path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 5000\r\nAccept: */*\r\nUser-Agent: panel/1.0\r\n"
	if req.body > 0 {
		head += "Content-Length: " + strconv.Itoa(req.body) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("b", req.body)); err != nil {
		return 0, err
	}
	first, _, err := readMessage(in)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.Fields(first)[1])
}

// serveMinimal answers every request immediately.
func serveMinimal(l net.Listener, _ string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			in := bufio.NewReader(c)
			for {
				first, id, err := readMessage(in)
				if err != nil {
					return
				}
				size := benchRead.answer
				if strings.HasPrefix(first, benchPublish.method) {
					size = benchPublish.answer
				}
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nSignature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
					id, size, bytes.Repeat([]byte("a"), size))
			}
		}()
	}
}

// readMessage reads an HTTP message and returns its first line and its
// request id.
func readMessage(in *bufio.Reader) (first, id string, err error) {
	size := 0
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		line = strings.TrimRight(line, "\r\n")
		switch name, value, _ := strings.Cut(line, ": "); {
		case line == "":
			_, err := in.Discard(size)
			return first, id, err
		case first == "":
			first = line
		case name == "Request-Id":
			id = value
		case name == "Content-Length":
			if size, err = strconv.Atoi(value); err != nil {
				return "", "", err
			}
		}
	}
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
