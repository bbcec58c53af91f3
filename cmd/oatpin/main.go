// Command oatpin runs one role of the overload control layer: a node beside
// a target VM, the stand-in platform or target, the load tool, the demo, or
// checks of configuration texts and time lines.
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
			platformCommand,
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
