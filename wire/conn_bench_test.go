package wire

import (
	"context"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkCall measures concurrent calls over one loopback connection. Its
// cpu-ns/op includes both ends.
func BenchmarkCall(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	s := &Server{Handler: func(_ context.Context, r call.Request) call.Answer {
		return call.Answer{ID: r.ID, Status: call.OK, Body: r.Body}
	}}
	go s.Serve(l)
	c, err := Dial(context.Background(), l.Addr().String(), DialConfig{})
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close()
	r := call.Request{ID: "0c4b6a8e-6f6e-4c35-9d55-2f0f5d1c2a11", Service: "freigabe", Operation: "approve",
		Key: "release-4711/freigabe.approve", Remaining: 2 * time.Second, RetryBudget: 3, Body: make([]byte, 256)}
	b.ReportAllocs()
	cpu := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := c.Call(context.Background(), r, 1); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &ru)
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// BenchmarkFrameSize reports the encoded size of a request and an answer with a
// 256-byte body, and of a ping.
func BenchmarkFrameSize(b *testing.B) {
	r := call.Request{ID: "0c4b6a8e-6f6e-4c35-9d55-2f0f5d1c2a11", Service: "freigabe", Operation: "approve",
		Key: "release-4711/freigabe.approve", Remaining: 2 * time.Second, RetryBudget: 3, Body: make([]byte, 256)}
	r.To, r.Sent = "freigabe-1", time.Now()
	a := call.Answer{ID: r.ID, Status: call.OK, Body: make([]byte, 256)}
	for b.Loop() {
		req, _ := msgpack.Marshal(&Frame{Kind: KindRequest, Stream: 123456, Request: &r, ConfigVersion: 42, From: "entwurf-1"})
		ans, _ := msgpack.Marshal(&Frame{Kind: KindAnswer, Stream: 123456, Answer: &a, ConfigVersion: 42})
		a.State.RateLimit, a.State.UpAt = 15.3, call.UnixMilli(time.Now().UnixMilli())
		stated, _ := msgpack.Marshal(&Frame{Kind: KindAnswer, Stream: 123456, Answer: &a, ConfigVersion: 42})
		a.State.RateLimit = 0
		ping, _ := msgpack.Marshal(&Frame{Kind: KindPing, Stream: 123456})
		b.ReportMetric(float64(len(req)), "B/request")
		b.ReportMetric(float64(len(ans)), "B/answer")
		b.ReportMetric(float64(len(stated)), "B/answer_with_rate_limit")
		b.ReportMetric(float64(len(ping)), "B/ping")
	}
}

// BenchmarkConnMemory reports the heap used by an idle connection, client and
// server side together.
func BenchmarkConnMemory(b *testing.B) {
	const conns = 200
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	s := &Server{Handler: func(_ context.Context, r call.Request) call.Answer { return call.Answer{ID: r.ID} }}
	go s.Serve(l)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cs := make([]*Conn, conns)
		for i := range cs {
			if cs[i], err = Dial(context.Background(), l.Addr().String(), DialConfig{}); err != nil {
				b.Fatal(err)
			}
			cs[i].Call(context.Background(), call.Request{}, 1) // make both sides allocate their buffers
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/conns, "B/conn")
		for _, c := range cs {
			c.Close()
		}
	}
}
