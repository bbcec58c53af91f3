package filter

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// BenchmarkChain measures the CPU cost per call of the filter chain
// (deadline, drain, dedup, admission) in front of a no-op target, for an
// idempotent call and for a non-idempotent call with an idempotency key.
func BenchmarkChain(b *testing.B) {
	var leaving atomic.Bool
	dedup := NewDedup(time.Minute, 32<<20)
	h := Chain(HandlerFunc(func(context.Context, *Call) call.Answer { return call.Answer{Status: call.OK} }),
		Deadline(time.Second), Drain(&leaving), dedup.Filter(), NewAdmission(1<<20).Filter())
	for _, idem := range []bool{true, false} {
		op := &callgraph.Operation{Class: call.Critical, Idempotent: idem}
		b.Run(fmt.Sprintf("idempotent=%v", idem), func(b *testing.B) {
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				r := &call.Request{ID: "r", Remaining: time.Second, Key: call.Key(fmt.Sprint(i))}
				h.Serve(context.Background(), &Call{Request: r, Op: op})
			}
		})
	}
}

// BenchmarkDedupMemory reports the heap bytes per idempotency key in the
// dedup window.
func BenchmarkDedupMemory(b *testing.B) {
	const keys = 100_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		w := NewTTLMap[call.Key, *execution](time.Hour)
		for i := range keys {
			r := &execution{done: make(chan struct{})}
			r.answer.Store(&call.Answer{Status: call.OK})
			w.GetOrPut(call.Key(fmt.Sprintf("release-%012d/freigabe.approve", i)), r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "B/key")
		runtime.KeepAlive(w)
	}
}
