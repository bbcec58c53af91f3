package main

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/sidecar"
	"github.com/oatpin/oatpin/timeline"
	"github.com/urfave/cli/v2"
)

const (
	// bodyMemoryNum / bodyMemoryDen is the fraction of the process's memory for request
	// bodies. The largest that deployments allow, 64 MB of a process of 284 MB, takes
	// half as much again while its buffer grows.
	bodyMemoryNum = 3
	bodyMemoryDen = 8
	// answerMemoryDivisor limits the bodies of answers to a fraction of the memory. The
	// largest answer fits into a process of 284 MB.
	answerMemoryDivisor = 4
	// headMemoryDivisor limits the heads of callers' requests to a fraction of the memory.
	headMemoryDivisor = 16
	// heapNum / heapDen is the fraction of the process's memory from which on
	// garbage is collected more often. The rest is for stacks, buffers of the
	// system and what is allocated during a collection.
	heapNum = 5
	heapDen = 8
)

// sidecarSettings are the sections of a sidecar's settings file.
type sidecarSettings struct {
	settings.Sidecar
	policies sidecar.Policies
}

var boundsFlag = &cli.StringFlag{Name: "bounds", Usage: "bounds of the deployment as the platform states them, such as Grace=6s,Drain=2000ms"}

var sidecarCommand = &cli.Command{
	Name:  "sidecar",
	Usage: "run the node beside one target VM on the users' platform",
	Flags: []cli.Flag{settingsFlag, boundsFlag},
	Action: func(c *cli.Context) error {
		// A SIGHUP that is not handled yet would end the process.
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		defer signal.Stop(hup)
		path := c.String("settings")
		bounds, err := platform.ParseBounds(c.String("bounds"))
		if err != nil {
			return err
		}
		s, err := loadSidecar(path, bounds)
		if err != nil {
			return err
		}
		out := timeline.NewAsyncHandler(os.Stdout)
		defer out.Close()
		lg := (&log.Logger{Handler: out, Level: log.InfoLevel}).WithField("process", s.Name)
		dir := directory.New(s.policies.DirectoryConfig(lg))
		store := platform.NewStore(s.Store, lg)
		n, err := sidecar.New(sidecar.Config{
			Name: s.Name, DC: s.DC, Service: s.Service, TargetAddr: s.Target, CallerAddr: s.Callers, PeerAddr: s.Peer,
			ControlAddr: s.Control, Seeds: s.Seeds, ReadyAddr: s.Ready, MetricsAddr: s.Metrics,
			Headers: platform.Headers, Tuning: tuning(s), Policies: s.policies, ShutdownGrace: s.ShutdownGrace, Quota: bounds.Quota, Directory: dir, Source: store, Log: lg,
		})
		if err != nil {
			return err
		}
		limitHeap(s)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		load := func() (sidecarSettings, error) { return loadSidecar(path, bounds) }
		go reloadOnSIGHUP(ctx, hup, load, s, n, lg)
		return runUntilSignal(n.Serve, n.Shutdown)
	},
}

// loadSidecar loads the settings in one read of the file. Bounds of the platform are
// the defaults of what the file leaves out; all policies are on by default.
func loadSidecar(path string, bounds platform.Bounds) (sidecarSettings, error) {
	s := sidecarSettings{Sidecar: defaultsWithin(bounds), policies: sidecar.DefaultPolicies()}
	f, err := settings.Read(path)
	if err != nil {
		return s, err
	}
	if err := f.Section("sidecar", &s.Sidecar); err != nil {
		return s, err
	}
	return s, f.OptionalSection("policies", &s.policies)
}

// defaultsWithin returns the default settings of a node that keeps the bounds.
func defaultsWithin(b platform.Bounds) settings.Sidecar {
	s := settings.DefaultSidecar()
	if b.Grace > 0 {
		s.ShutdownGrace = b.Grace
	}
	s.RetryRatio, s.RetryWindow = budget.NodeRatio(b.Retry.Ratio), b.Retry.Window
	switch {
	case b.Retry.Slack > 0:
		s.SharedRetries = b.Retry.Slack
	case b.Retry.Slack == 0:
		s.MinRetries = 0
	}
	return s
}

// tuning returns the settings that a reload applies.
func tuning(s sidecarSettings) sidecar.Tuning {
	return sidecar.Tuning{
		MaxHeldBodyBytes:   int64(s.MemoryMB) << 20 * bodyMemoryNum / bodyMemoryDen,
		MaxHeldAnswerBytes: int64(s.MemoryMB) << 20 / answerMemoryDivisor,
		MaxHeldHeadBytes:   int64(s.MemoryMB) << 20 / headMemoryDivisor,
		Retries:            budget.RetryWindowConfig{Span: s.RetryWindow, Ratio: s.RetryRatio, MinRetries: s.MinRetries, SharedRetries: s.SharedRetries},
	}
}

// limitHeap keeps garbage within the process's memory. By default the heap doubles
// before it is collected, which a burst of large bodies does not leave room for.
func limitHeap(s sidecarSettings) { debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * heapNum / heapDen) }

// reloadOnSIGHUP reloads the settings on each signal of hup. An invalid file leaves the
// current settings in effect; changes that need a restart are logged as such.
func reloadOnSIGHUP(ctx context.Context, hup <-chan os.Signal, load func() (sidecarSettings, error), s sidecarSettings, n *sidecar.Node, lg log.Interface) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		next, err := load()
		if err != nil {
			lg.WithError(err).Error("settings_refused")
			continue
		}
		if tuning(next) != tuning(s) {
			n.Tune(tuning(next))
			limitHeap(next)
		}
		lg.WithField("needs_restart", !reflect.DeepEqual(withoutTuning(next), withoutTuning(s))).Info("settings_reloaded")
		s = next
	}
}

// withoutTuning returns the settings that only a restart applies.
func withoutTuning(s sidecarSettings) sidecarSettings {
	s.MemoryMB, s.RetryRatio, s.MinRetries, s.SharedRetries, s.RetryWindow = 0, 0, 0, 0, 0
	return s
}
