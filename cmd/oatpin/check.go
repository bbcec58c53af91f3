package main

import (
	"fmt"
	"os"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/urfave/cli/v2"
)

var checkCommand = &cli.Command{
	Name:      "check",
	Usage:     "check configuration texts and print every problem with its line",
	ArgsUsage: "FILE...",
	Action: func(c *cli.Context) error {
		if c.NArg() == 0 {
			return cli.Exit("check: at least one FILE is required", 2)
		}
		bad := 0
		for _, path := range c.Args().Slice() {
			text, err := os.ReadFile(path)
			if err == nil {
				_, err = callgraph.Parse(text)
			}
			if err != nil {
				fmt.Fprintf(c.App.Writer, "%s: %v\n", path, err)
				bad++
				continue
			}
			fmt.Fprintf(c.App.Writer, "%s: ok\n", path)
		}
		if bad > 0 {
			return cli.Exit(fmt.Sprintf("check: %d of %d texts refused", bad, c.NArg()), 1)
		}
		return nil
	},
}
