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
	// benchKind is a kind of request that callers send in a benchmark.
	benchRequest struct {
		name, method, path string
		body, answer       int // bytes
		code               int // of its answer
	}

	// nobody admits no new request of the lower ranks.
	admitNone struct{}
)

var (
	benchRead    = benchRequest{"get_1.5kB", "GET", "/read/leny950/2f", 0, 1500, 200}
	benchPublish = benchRequest{"put_6kB", "PUT", "/publish/leny950/2f", 300, 6000, 200}
	benchRefused = benchRequest{"get", "GET", "/read/leny950/2f", 0, 0, 503}
)

func (admitNone) Threshold(string) call.Level { return 0 }

// BenchmarkRequest is the cost of a request through two nodes to the target
// beside the second, with callers and targets that do as little as they can.
// All are in this process: the processor time is that of both nodes and the
// kernel, and a little of the others'.
func BenchmarkRequest(b *testing.B) {
	for _, k := range []benchRequest{benchRead, benchPublish} {
		for _, callers := range []int{1, 50, 500} {
			b.Run(fmt.Sprintf("%s/callers=%d", k.name, callers), func(b *testing.B) { benchMesh(b).runLoad(b, k, callers) })
		}
	}
}

// BenchmarkRefused is the cost of a request that is refused where it enters.
func BenchmarkRefused(b *testing.B) {
	m := benchMesh(b)
	m.vms[0].node.admission = admitNone{}
	m.runLoad(b, benchRefused, 50)
}

// benchMesh is two nodes, of which the second's target serves all requests.
func benchMesh(b *testing.B) *mesh {
	m := &mesh{t: b, port: freePort(b), serve: serveMinimal}
	m.populate([]string{"entwurf", "archiv"})
	for _, v := range m.vms {
		v.node.gate.SetLimit(1000)
		v.node.meter.SetSlots(1000)
	}
	return m
}

// load lets callers on the first VM send b.N requests.
func (m *mesh) runLoad(b *testing.B, k benchRequest, callers int) {
	var left, sent atomic.Int64
	left.Store(int64(b.N))
	b.ReportAllocs()
	b.ResetTimer()
	began := cpuTime()
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			c, err := net.Dial("tcp", m.vms[0].node.cfg.Callers)
			if err != nil {
				b.Error(err)
				return
			}
			defer c.Close()
			in := bufio.NewReader(c)
			for left.Add(-1) >= 0 {
				id := "c" + strconv.Itoa(i) + "r" + strconv.FormatInt(sent.Add(1), 10)
				if code, err := roundTrip(c, in, k, id); err != nil || code != k.code {
					b.Errorf("%d, %v", code, err)
					return
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64((cpuTime()-began).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// exchange sends a request as a caller does and reads its answer.
func roundTrip(c net.Conn, in *bufio.Reader, k benchRequest, id string) (code int, err error) {
	head := k.method + " " + k.path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 5000\r\nAccept: */*\r\nUser-Agent: panel/1.0\r\n"
	if k.body > 0 {
		head += "Content-Length: " + strconv.Itoa(k.body) + "\r\n"
	}
	if _, err := io.WriteString(c, head+"\r\n"+strings.Repeat("b", k.body)); err != nil {
		return 0, err
	}
	first, _, err := readMessage(in)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.Fields(first)[1])
}

// serveBare answers as a target does, at once.
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

// readBare reads a message and returns its first line and its id.
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
