package main

import (
	"context"
	"fmt"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/load"
	"github.com/oatpin/oatpin/timeline"
	"github.com/urfave/cli/v2"
)

// deployments are the example configurations that the demo runs, with the
// listen address of the simulated configuration service and the operations that
// the load generator calls.
var deployments = []struct {
	name              string
	text              []byte
	configServiceAddr string
	operations        []callgraph.Ref
}{
	{"kessler-raab", examples.KesslerRaab, "127.0.0.1:17000", []callgraph.Ref{
		{Service: "entwurf", Operation: "publish"}, {Service: "entwurf", Operation: "read_draft"},
		{Service: "entwurf", Operation: "read_draft"}, {Service: "entwurf", Operation: "read_draft"},
	}},
	{"maracas", examples.Maracas, "127.0.0.1:17001", []callgraph.Ref{
		{Service: "logbook", Operation: "log_find"}, {Service: "cache-pages", Operation: "browse"},
		{Service: "trackables", Operation: "award"}, {Service: "logbook", Operation: "past_finds"},
	}},
}

var demoCommand = &cli.Command{
	Name:  "demo",
	Usage: "run both embedded deployments on loopback and print whole requests completed and refused",
	Flags: []cli.Flag{
		&cli.DurationFlag{Name: "duration", Value: 5 * time.Second, Usage: "how long to send load"},
		&cli.Float64Flag{Name: "rate", Value: 400, Usage: "requests a second to each deployment"},
		&cli.StringFlag{Name: "timeline", Usage: "file for the time line (default standard error)"},
		&cli.BoolFlag{Name: "any-port", Usage: "move every instance to free loopback ports instead of those in the texts"},
	},
	Action: func(c *cli.Context) error {
		lg, closer, err := timeline.Open(c.String("timeline"), "demo")
		if err != nil {
			return err
		}
		defer closer.Close()
		for _, d := range deployments {
			m, err := demo.Start(demo.Config{InitialConfig: d.text, ConfigServiceAddr: d.configServiceAddr, AnyPort: c.Bool("any-port"), Log: lg})
			if err != nil {
				return err
			}
			rep := load.Run(c.Context, load.Config{Graph: m.Graph, Operations: d.operations, Rate: c.Float64("rate"), Duration: c.Duration("duration"), Retries: 2})
			fmt.Fprintf(c.App.Writer, "== %s: %d instances, deepest chain %d\n", d.name, len(m.Nodes), maxDepth(m.Graph, d.operations))
			rep.Print(c.App.Writer)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			m.Stop(ctx)
			cancel()
		}
		return nil
	},
}

func maxDepth(g *callgraph.Graph, refs []callgraph.Ref) int {
	d := 0
	for _, r := range refs {
		d = max(d, g.Depth(r))
	}
	return d
}
