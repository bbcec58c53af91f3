package demo

import (
	"context"
	"strings"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/load"
)

// SlowdownExperiment is an experiment in which the last service of a call chain
// slows down during a demand surge from clients that retry without backoff,
// then recovers.
type SlowdownExperiment struct {
	MeshConfig     Config
	Operations     []callgraph.Ref // operations to call, in round-robin order
	SlowService    string          // name of the service whose targets slow down
	SlowdownFactor float64         // service time during the slowdown, as a multiple of the normal one
	Rate           float64         // requests per second outside the surge
	SurgeFactor    float64         // demand during the slowdown, as a multiple of Rate
	WarmUp         time.Duration   // warm-up before the slowdown
	SlowPeriod     time.Duration   // duration of the slowdown
	RecoveryPeriod time.Duration   // observation period after the slowdown
	Retries        int             // retries per request, without backoff
}

// SlowdownResult holds the measurements of one run of a SlowdownExperiment.
type SlowdownResult struct {
	Report   *load.Report  // covers the run from the start of WarmUp
	Arrivals int64         // calls received by all targets, including retries
	Recovery time.Duration // from the end of the slowdown until goodput is at 90% of that before it; -1 if never
}

// Run starts a mesh on free ports, runs the experiment once and stops the mesh.
func (s SlowdownExperiment) Run(ctx context.Context) (SlowdownResult, error) {
	cfg := s.MeshConfig
	cfg.AnyPort = true
	m, err := Start(cfg)
	if err != nil {
		return SlowdownResult{}, err
	}
	defer func() {
		stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		m.Stop(stop)
	}()
	total := s.WarmUp + s.SlowPeriod + s.RecoveryPeriod
	go s.injectSlowdown(ctx, m)
	rep := load.Run(ctx, load.Config{
		Graph: m.Graph, Operations: s.Operations, Duration: total, Retries: s.Retries,
		RateAt: func(t time.Duration) float64 {
			if t >= s.WarmUp && t < s.WarmUp+s.SlowPeriod {
				return s.Rate * s.SurgeFactor
			}
			return s.Rate
		},
	})
	res := SlowdownResult{Report: rep, Recovery: rep.RecoveryTime(int(s.WarmUp/time.Second), int((s.WarmUp+s.SlowPeriod)/time.Second))}
	for _, t := range m.Targets {
		res.Arrivals += t.Arrivals()
	}
	return res, nil
}

// injectSlowdown slows down the targets of s.SlowService during the slowdown.
func (s SlowdownExperiment) injectSlowdown(ctx context.Context, m *Mesh) {
	setSlowdown := func(factor float64) {
		for name, t := range m.Targets {
			if strings.HasPrefix(name, s.SlowService+"-") {
				t.SetSlowdown(factor)
			}
		}
	}
	select {
	case <-time.After(s.WarmUp):
	case <-ctx.Done():
		return
	}
	setSlowdown(s.SlowdownFactor)
	select {
	case <-time.After(s.SlowPeriod):
	case <-ctx.Done():
	}
	setSlowdown(1)
}
