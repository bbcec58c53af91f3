package demo

import (
	"context"
	"strings"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/load"
)

// Slowdown is an experiment in which the last service of a call chain slows down
// during a demand surge from clients that retry without backoff, then recovers.
type Slowdown struct {
	Mesh    Config
	Entries []callgraph.Ref // operations to call, in round-robin order
	Deepest string          // name of the service whose targets slow down
	Factor  float64         // service time during the slowdown, as a multiple of the normal one
	Rate    float64         // requests per second outside the surge
	Surge   float64         // demand during the slowdown, as a multiple of Rate
	Warm    time.Duration   // warm-up before the slowdown
	Slow    time.Duration   // duration of the slowdown
	After   time.Duration   // observation period after the slowdown
	Retries int             // retries per request, without backoff
}

// Result holds the measurements of one run of a Slowdown.
type Result struct {
	Report   *load.Report  // covers the run from the start of Warm
	Arrivals int64         // calls received by all targets, including retries
	Recovery time.Duration // from the end of the slowdown until goodput reaches 90% of the baseline; -1 if never
}

// Run starts a mesh on free ports, runs the experiment once and stops the mesh.
func (s Slowdown) Run(ctx context.Context) (Result, error) {
	cfg := s.Mesh
	cfg.AnyPort = true
	m, err := Start(cfg)
	if err != nil {
		return Result{}, err
	}
	defer func() {
		stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		m.Stop(stop)
	}()
	total := s.Warm + s.Slow + s.After
	go s.injectSlowdown(ctx, m)
	rep := load.Run(ctx, load.Config{
		Graph: m.Graph, Entries: s.Entries, Duration: total, Retries: s.Retries,
		RateAt: func(t time.Duration) float64 {
			if t >= s.Warm && t < s.Warm+s.Slow {
				return s.Rate * s.Surge
			}
			return s.Rate
		},
	})
	res := Result{Report: rep, Recovery: rep.RecoveryAgainst(int(s.Warm/time.Second), int((s.Warm+s.Slow)/time.Second))}
	for _, t := range m.Targets {
		res.Arrivals += t.Arrivals()
	}
	return res, nil
}

// injectSlowdown slows down the targets of s.Deepest during the slowdown.
func (s Slowdown) injectSlowdown(ctx context.Context, m *Mesh) {
	setSlow := func(factor float64) {
		for name, t := range m.Targets {
			if strings.HasPrefix(name, s.Deepest+"-") {
				t.SetSlow(factor)
			}
		}
	}
	select {
	case <-time.After(s.Warm):
	case <-ctx.Done():
		return
	}
	setSlow(s.Factor)
	select {
	case <-time.After(s.Slow):
	case <-ctx.Done():
	}
	setSlow(1)
}
