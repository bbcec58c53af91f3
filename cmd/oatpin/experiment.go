package main

import (
	"fmt"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/timeline"
	"github.com/urfave/cli/v2"
)

var experimentCommand = &cli.Command{
	Name:  "experiment",
	Usage: "slow the deepest service under a surge with hard-retrying clients, for oatpin and the naive baseline, and compare",
	Flags: []cli.Flag{
		&cli.Float64Flag{Name: "rate", Value: 300, Usage: "requests a second outside the surge"},
		&cli.Float64Flag{Name: "surge", Value: 1.5, Usage: "demand during the slowdown, times the rate"},
		&cli.Float64Flag{Name: "factor", Value: 5, Usage: "how much slower the deepest service gets"},
		&cli.DurationFlag{Name: "warm", Value: 5 * time.Second},
		&cli.DurationFlag{Name: "slow", Value: 20 * time.Second},
		&cli.DurationFlag{Name: "after", Value: 15 * time.Second},
		&cli.IntFlag{Name: "retries", Value: 2, Usage: "client retries, sent at once"},
		&cli.StringFlag{Name: "timeline", Usage: "file for the time line (default standard error)"},
	},
	Action: func(c *cli.Context) error {
		lg, closer, err := timeline.Open(c.String("timeline"), "experiment")
		if err != nil {
			return err
		}
		defer closer.Close()
		w := c.App.Writer
		fmt.Fprintln(w, "| mode | sent | whole critical | whole sheddable | refused | failed | target arrivals per request | p99 | recovery |")
		fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		series := map[string][]int64{}
		for _, baseline := range []bool{false, true} {
			s := demo.SlowdownExperiment{
				MeshConfig:  demo.Config{InitialConfig: examples.Slowdown, ConfigServiceAddr: "127.0.0.1:0", Baseline: baseline, Log: lg},
				Operations:  []callgraph.Ref{{Service: "front", Operation: "write"}, {Service: "front", Operation: "read"}},
				SlowService: "deep", SlowdownFactor: c.Float64("factor"), Rate: c.Float64("rate"), SurgeFactor: c.Float64("surge"),
				WarmUp: c.Duration("warm"), SlowPeriod: c.Duration("slow"), RecoveryPeriod: c.Duration("after"), Retries: c.Int("retries"),
			}
			res, err := s.Run(c.Context)
			if err != nil {
				return err
			}
			series[printRow(c, baseline, res)] = res.Report.CompletedPerSecond
		}
		fmt.Fprintln(w, "\nwhole requests completed in each second:")
		for _, mode := range []string{"oatpin", "baseline"} {
			fmt.Fprintf(w, "%-8s %v\n", mode, series[mode])
		}
		return nil
	},
}

// printRow writes the table row of one mode and returns the mode's name.
func printRow(c *cli.Context, baseline bool, res demo.SlowdownResult) string {
	mode := "oatpin"
	if baseline {
		mode = "baseline"
	}
	var sent, refused, failed int64
	for _, cr := range res.Report.Classes {
		sent += cr.Sent
		refused += cr.Refused
		failed += cr.Failed
	}
	recovery := "never"
	if res.Recovery >= 0 {
		recovery = res.Recovery.String()
	}
	fmt.Fprintf(c.App.Writer, "| %s | %d | %d | %d | %d | %d | %.2f | %s | %s |\n", mode, sent,
		res.Report.Classes["critical"].Completed, res.Report.Classes["sheddable"].Completed, refused, failed,
		float64(res.Arrivals)/float64(sent), res.Report.LatencyPercentile(99), recovery)
	return mode
}
