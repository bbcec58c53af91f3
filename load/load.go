package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// maxInFlight bounds the requests open at once, so a run stays bounded
// however slow the mesh gets.
const maxInFlight = 4096

type (
	// Config is what a Run is built from.
	Config struct {
		Graph   *callgraph.Graph
		Entries []callgraph.Ref // operations callers send, picked evenly
		Rate    float64         // requests a second, sent on time whatever the answers
		// RateAt, if not nil, gives the rate at each moment of the run
		// instead of Rate.
		RateAt   func(elapsed time.Duration) float64
		Duration time.Duration
		Retries  int // client retries after a refusal or error, sent at once
		Client   *http.Client
	}

	// ClassReport counts the requests of one class.
	ClassReport struct {
		Sent      int64
		Completed int64 // whole answers
		Refused   int64 // not run, after the client's retries
		Failed    int64 // failed or unknown
		Attempts  int64 // HTTP calls, client retries included
	}

	// Report is the outcome of one Run.
	Report struct {
		Duration time.Duration
		Classes  map[call.Class]*ClassReport
		Latency  *hdrhistogram.Histogram // microseconds, completed requests
		PerSec   []int64                 // completed requests in each second
	}
)

// Run sends load for cfg.Duration and returns the report.
func Run(ctx context.Context, cfg Config) *Report {
	rep := &Report{Duration: cfg.Duration, Classes: map[call.Class]*ClassReport{
		call.Critical: {}, call.Sheddable: {},
	}, Latency: hdrhistogram.New(1, 60_000_000, 3), PerSec: make([]int64, int(cfg.Duration/time.Second)+1)}
	client := cfg.Client
	if client == nil {
		client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	}
	var mu sync.Mutex // guards rep.Latency
	var wg sync.WaitGroup
	var open atomic.Int64
	start := time.Now()
	rate := cfg.RateAt
	if rate == nil {
		rate = func(time.Duration) float64 { return cfg.Rate }
	}
	at := start
	for i := 0; ; i++ {
		at = at.Add(time.Duration(float64(time.Second) / rate(at.Sub(start))))
		if at.Sub(start) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(at))
		ref := cfg.Entries[i%len(cfg.Entries)]
		op := cfg.Graph.Operation(ref)
		cr := rep.Classes[op.Class]
		atomic.AddInt64(&cr.Sent, 1)
		if open.Load() >= maxInFlight {
			atomic.AddInt64(&cr.Refused, 1)
			continue
		}
		open.Add(1)
		wg.Add(1)
		go func(seq int) {
			defer wg.Done()
			defer open.Add(-1)
			t0 := time.Now()
			st := send(ctx, client, cfg, ref, fmt.Sprintf("load-%d", seq), cr)
			switch st {
			case call.OK:
				atomic.AddInt64(&cr.Completed, 1)
				mu.Lock()
				rep.Latency.RecordValue(time.Since(t0).Microseconds())
				if s := int(time.Since(start) / time.Second); s < len(rep.PerSec) {
					rep.PerSec[s]++
				}
				mu.Unlock()
			case call.NotRun:
				atomic.AddInt64(&cr.Refused, 1)
			default:
				atomic.AddInt64(&cr.Failed, 1)
			}
		}(i)
	}
	wg.Wait()
	return rep
}

// send makes one request, retrying at once on anything but a whole answer,
// as the users' hard-retrying clients do. Every try goes to another random
// instance and carries the same request id and idempotency key.
func send(ctx context.Context, client *http.Client, cfg Config, ref callgraph.Ref, id string, cr *ClassReport) call.Status {
	var st call.Status
	ins := cfg.Graph.Services[ref.Service].Instances
	in := ins[rand.IntN(len(ins))]
	key := call.NewKey(string(in.DC))
	for try := 0; try <= cfg.Retries; try++ {
		atomic.AddInt64(&cr.Attempts, 1)
		st = attempt(ctx, client, in, ref, id, key)
		in = ins[rand.IntN(len(ins))]
		if st == call.OK || st == call.Failed {
			return st
		}
	}
	return st
}

func attempt(ctx context.Context, client *http.Client, in callgraph.Instance, ref callgraph.Ref, id string, key call.Key) call.Status {
	url := "http://" + in.HTTP + "/v1/call/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return call.NotRun
	}
	req.Header.Set(call.HeaderRequestID, id)
	req.Header.Set(call.HeaderKey, string(key))
	resp, err := client.Do(req)
	if err != nil {
		return call.Unknown
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	if st := call.Status(resp.Header.Get(call.HeaderStatus)); st != "" {
		return st
	}
	return call.Unknown
}

// Goodput returns whole requests completed a second over the run.
func (r *Report) Goodput() float64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Completed
	}
	return float64(n) / r.Duration.Seconds()
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "goodput %.1f whole requests/s over %s\n", r.Goodput(), r.Duration)
	fmt.Fprintf(w, "%-10s %8s %10s %8s %8s %9s\n", "class", "sent", "completed", "refused", "failed", "attempts")
	for _, class := range []call.Class{call.Critical, call.Sheddable} {
		c := r.Classes[class]
		fmt.Fprintf(w, "%-10s %8d %10d %8d %8d %9d\n", class, c.Sent, c.Completed, c.Refused, c.Failed, c.Attempts)
	}
	fmt.Fprintf(w, "latency of completed: p50 %s p99 %s max %s\n",
		r.LatencyAt(50), r.LatencyAt(99), r.LatencyAt(100))
}

// LatencyAt returns the latency of completed requests at a percentile, 0 to
// 100.
func (r *Report) LatencyAt(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// RecoveryAgainst returns how long after second from the per-second
// goodput first came back to within 10% of its mean over seconds 1 to warm
// (second 0 is partly ramp-up), or -1 if it never did.
func (r *Report) RecoveryAgainst(warm, from int) time.Duration {
	if warm <= 1 || from >= len(r.PerSec) {
		return -1
	}
	var sum int64
	for _, v := range r.PerSec[1:warm] {
		sum += v
	}
	base := float64(sum) / float64(warm-1)
	for s := from; s < len(r.PerSec)-1; s++ {
		if float64(r.PerSec[s]) >= 0.9*base {
			return time.Duration(s-from) * time.Second
		}
	}
	return -1
}
