package main

import (
	"os"
	"strings"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/load"
	"github.com/oatpin/oatpin/timeline"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"
)

var loadCommand = &cli.Command{
	Name:      "load",
	Usage:     "send an open-loop request mix to the nodes of a text and report goodput",
	ArgsUsage: "TEXT service.operation...",
	Flags: []cli.Flag{
		&cli.Float64Flag{Name: "rate", Value: 200, Usage: "requests a second"},
		&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
		&cli.IntFlag{Name: "retries", Value: 2, Usage: "client retries, sent at once"},
	},
	Action: func(c *cli.Context) error {
		if c.NArg() < 2 {
			return cli.Exit("load: TEXT and at least one service.operation are required", 2)
		}
		text, err := os.ReadFile(c.Args().First())
		if err != nil {
			return err
		}
		g, err := callgraph.Parse(text)
		if err != nil {
			return err
		}
		var operations []callgraph.Ref
		for _, a := range c.Args().Tail() {
			svc, op, _ := strings.Cut(a, ".")
			ref := callgraph.Ref{Service: svc, Operation: op}
			if g.Operation(ref) == nil {
				return eris.Errorf("load: %s is not an operation of the configuration", a)
			}
			operations = append(operations, ref)
		}
		rep := load.Run(c.Context, load.Config{Graph: g, Operations: operations, Rate: c.Float64("rate"), Duration: c.Duration("duration"), Retries: c.Int("retries")})
		rep.Print(c.App.Writer)
		return nil
	},
}

var timelineCommand = &cli.Command{
	Name:      "timeline",
	Usage:     "merge the time lines of several processes into one, ordered by time",
	ArgsUsage: "FILE...",
	Action: func(c *cli.Context) error {
		return timeline.Merge(c.App.Writer, c.Args().Slice()...)
	},
}
