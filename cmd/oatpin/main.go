// Command oatpin runs one role of the overload control layer: a node or
// sidecar, a simulated configuration service or target, the load generator, the
// demo or the slowdown experiment. It also checks configurations and merges
// timelines.
package main

import (
	"fmt"
	"os"

	"github.com/urfave/cli/v2"
)

func main() {
	app := &cli.App{
		Name:  "oatpin",
		Usage: "overload control for service call graphs",
		Commands: []*cli.Command{
			demoCommand,
			checkCommand,
			nodeCommand,
			sidecarCommand,
			targetCommand,
			configServiceCommand,
			loadCommand,
			timelineCommand,
			experimentCommand,
		},
	}
	if err := app.Run(os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "oatpin:", err)
		os.Exit(1)
	}
}
