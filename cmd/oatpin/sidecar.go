package main

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/sidecar"
	"github.com/oatpin/oatpin/timeline"
	"github.com/urfave/cli/v2"
)

// bodyShare is the part of a process's memory that callers' bodies may take:
// each is held once or twice more on its way.
const bodyShare = 8

var sidecarCommand = &cli.Command{
	Name:  "sidecar",
	Usage: "run the node beside one target VM on the users' platform",
	Flags: []cli.Flag{settingsFlag},
	Action: func(c *cli.Context) error {
		s := settings.Sidecar{Grace: 6 * time.Second, RepeatWindow: 10 * time.Second, MemoryMB: 128}
		if err := settings.Load(c.String("settings"), "sidecar", &s); err != nil {
			return err
		}
		out := timeline.NewAsync(os.Stdout)
		defer out.Close()
		lg := (&log.Logger{Handler: out, Level: log.InfoLevel}).WithField("process", s.Name)
		dir := directory.New(lg)
		n, err := sidecar.New(sidecar.Config{
			Name: s.Name, DC: s.DC, Service: s.Service, Target: s.Target, Callers: s.Callers, Peer: s.Peer, Ready: s.Ready, Metrics: s.Metrics,
			Headers: platform.Headers, BodyBytes: int64(s.MemoryMB) << 20 / bodyShare, Grace: s.Grace, Directory: dir, Log: lg,
			Repeats: budget.WindowConfig{Span: s.RepeatWindow, Ratio: s.RepeatRatio, Slack: s.RepeatSlack},
		})
		if err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go dir.Follow(ctx, platform.NewStore(s.Store, lg))
		return runUntilSignal(n.Serve, n.Shutdown)
	},
}
