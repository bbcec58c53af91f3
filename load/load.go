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
	"github.com/oatpin/oatpin/answer"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// maxInFlight bounds the number of concurrent requests, and with it the memory
// and connections of a run against a slow mesh. Requests beyond it are not sent
// and count as refused.
const maxInFlight = 4096

type (
	// Config configures a Run.
	Config struct {
		Graph      *callgraph.Graph
		Operations []callgraph.Ref // operations to call, in round-robin order
		Rate       float64         // requests per second; open loop, independent of responses
		// RateAt, if not nil, replaces Rate by a rate that depends on the time
		// since the start of the run.
		RateAt   func(elapsed time.Duration) float64
		Duration time.Duration
		Retries  int          // retries per request on NotRun and Unknown, without backoff
		Client   *http.Client // nil for a default client
	}

	// ClassCounts holds the request counts of one class.
	ClassCounts struct {
		Sent      int64
		Completed int64 // responses with status OK
		Refused   int64 // not run after all retries, or not sent because of maxInFlight
		Failed    int64 // status Failed or Unknown
		Attempts  int64 // HTTP requests, including retries
	}

	// Report is the result of a Run.
	Report struct {
		Duration           time.Duration
		Classes            map[call.Class]*ClassCounts
		Latency            *hdrhistogram.Histogram // of completed requests, in microseconds
		CompletedPerSecond []int64                 // completed requests in each second of the run
	}
)

// Run sends requests for cfg.Duration, or until ctx is done, and waits for those
// in flight.
func Run(ctx context.Context, cfg Config) *Report {
	rep := &Report{Duration: cfg.Duration, Classes: map[call.Class]*ClassCounts{
		call.Critical: {}, call.Sheddable: {},
	}, Latency: hdrhistogram.New(1, 60_000_000, 3), CompletedPerSecond: make([]int64, int(cfg.Duration/time.Second)+1)}
	client := cfg.Client
	if client == nil {
		client = answer.NewClient(&http.Transport{MaxIdleConnsPerHost: 1024})
	}
	var mu sync.Mutex // guards rep.Latency and rep.CompletedPerSecond
	var wg sync.WaitGroup
	var inFlight atomic.Int64
	start := time.Now()
	rate := cfg.RateAt
	if rate == nil {
		rate = func(time.Duration) float64 { return cfg.Rate }
	}
	next := start
	for i := 0; ; i++ {
		next = next.Add(time.Duration(float64(time.Second) / rate(next.Sub(start))))
		if next.Sub(start) >= cfg.Duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(next))
		ref := cfg.Operations[i%len(cfg.Operations)]
		op := cfg.Graph.Operation(ref)
		counts := rep.Classes[op.Class]
		atomic.AddInt64(&counts.Sent, 1)
		if inFlight.Load() >= maxInFlight {
			atomic.AddInt64(&counts.Refused, 1)
			continue
		}
		inFlight.Add(1)
		wg.Add(1)
		go func(n int) {
			defer wg.Done()
			defer inFlight.Add(-1)
			sent := time.Now()
			status := send(ctx, client, cfg, ref, fmt.Sprintf("load-%d", n), counts)
			switch status {
			case call.OK:
				atomic.AddInt64(&counts.Completed, 1)
				mu.Lock()
				rep.Latency.RecordValue(time.Since(sent).Microseconds())
				if s := int(time.Since(start) / time.Second); s < len(rep.CompletedPerSecond) {
					rep.CompletedPerSecond[s]++
				}
				mu.Unlock()
			case call.NotRun:
				atomic.AddInt64(&counts.Refused, 1)
			default:
				atomic.AddInt64(&counts.Failed, 1)
			}
		}(i)
	}
	wg.Wait()
	return rep
}

// send makes one request and retries it without backoff on NotRun and Unknown.
// Each attempt goes to a random instance with the same request ID and
// idempotency key.
func send(ctx context.Context, client *http.Client, cfg Config, ref callgraph.Ref, id string, counts *ClassCounts) call.Status {
	var status call.Status
	instances := cfg.Graph.Services[ref.Service].Instances
	instance := instances[rand.IntN(len(instances))]
	key := call.NewKey(string(instance.DC))
	for try := 0; try <= cfg.Retries; try++ {
		atomic.AddInt64(&counts.Attempts, 1)
		status = attempt(ctx, client, instance, ref, id, key)
		instance = instances[rand.IntN(len(instances))]
		if status == call.OK || status == call.Failed {
			return status
		}
	}
	return status
}

// attempt makes one HTTP request. Transport errors, responses that break off and those
// without a status header count as Unknown.
func attempt(ctx context.Context, client *http.Client, instance callgraph.Instance, ref callgraph.Ref, id string, key call.Key) call.Status {
	url := "http://" + instance.HTTP + "/v1/call/" + ref.Service + "/" + ref.Operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		return call.NotRun
	}
	req.Header.Set(call.HeaderRequestID, id)
	req.Header.Set(call.HeaderIdempotencyKey, string(key))
	resp, err := client.Do(req)
	if err != nil {
		return call.Unknown
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return call.Unknown
	}
	if status := call.Status(resp.Header.Get(call.HeaderStatus)); status != "" {
		return status
	}
	return call.Unknown
}

// Goodput returns the completed requests per second over the whole run.
func (r *Report) Goodput() float64 {
	var n int64
	for _, c := range r.Classes {
		n += c.Completed
	}
	return float64(n) / r.Duration.Seconds()
}

// Print writes the report to w as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "goodput %.1f whole requests/s over %s\n", r.Goodput(), r.Duration)
	fmt.Fprintf(w, "%-10s %8s %10s %8s %8s %9s\n", "class", "sent", "completed", "refused", "failed", "attempts")
	for _, class := range []call.Class{call.Critical, call.Sheddable} {
		c := r.Classes[class]
		fmt.Fprintf(w, "%-10s %8d %10d %8d %8d %9d\n", class, c.Sent, c.Completed, c.Refused, c.Failed, c.Attempts)
	}
	fmt.Fprintf(w, "latency of completed: p50 %s p99 %s max %s\n",
		r.LatencyPercentile(50), r.LatencyPercentile(99), r.LatencyPercentile(100))
}

// LatencyPercentile returns the given percentile (0 to 100) of the latency of
// completed requests.
func (r *Report) LatencyPercentile(percentile float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(percentile)) * time.Microsecond
}

// RecoveryTime returns the time from overloadEnd until the per-second goodput
// reaches 90% of its mean before overloadStart, or -1 if it never does. Both
// arguments are in seconds since the start of the run. The mean leaves out the
// ramp-up in second 0.
func (r *Report) RecoveryTime(overloadStart, overloadEnd int) time.Duration {
	if overloadStart <= 1 || overloadEnd >= len(r.CompletedPerSecond) {
		return -1
	}
	var sum int64
	for _, completed := range r.CompletedPerSecond[1:overloadStart] {
		sum += completed
	}
	meanBefore := float64(sum) / float64(overloadStart-1)
	for s := overloadEnd; s < len(r.CompletedPerSecond)-1; s++ {
		if float64(r.CompletedPerSecond[s]) >= 0.9*meanBefore {
			return time.Duration(s-overloadEnd) * time.Second
		}
	}
	return -1
}
