package demo

import (
	"context"
	"strings"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/load"
)

// Slowdown is the experiment of the deepest service slowing down under a
// surge of demand with hard-retrying clients, then recovering.
type Slowdown struct {
	Mesh    Config
	Entries []callgraph.Ref
	Deepest string        // service whose targets slow down
	Factor  float64       // how much slower, 5 for a fifth of its speed
	Rate    float64       // requests a second outside the surge
	Surge   float64       // demand during the slowdown, times Rate
	Warm    time.Duration // before the slowdown
	Slow    time.Duration // the slowdown
	After   time.Duration // after it, to see recovery
	Retries int           // client retries, sent at once
}

// Result is what one run of Slowdown measured.
type Result struct {
	Report   *load.Report  // PerSec starts at the beginning of Warm
	Arrivals int64         // calls that reached any target, retries included
	Recovery time.Duration // from the end of the slowdown to goodput back within 10%; -1 if never
}

// Run runs the experiment once.
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
	go s.fault(ctx, m)
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

// fault slows the deepest service's targets for the slowdown window.
func (s Slowdown) fault(ctx context.Context, m *Mesh) {
	set := func(f float64) {
		for name, t := range m.Targets {
			if strings.HasPrefix(name, s.Deepest+"-") {
				t.SetSlow(f)
			}
		}
	}
	select {
	case <-time.After(s.Warm):
	case <-ctx.Done():
		return
	}
	set(s.Factor)
	select {
	case <-time.After(s.Slow):
	case <-ctx.Done():
	}
	set(1)
}
