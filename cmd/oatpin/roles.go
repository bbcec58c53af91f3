package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/answer"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/inbound"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/target"
	"github.com/oatpin/oatpin/timeline"
	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v2"
)

// shutdownTimeout bounds a graceful shutdown after SIGTERM or SIGINT.
const shutdownTimeout = 30 * time.Second

var settingsFlag = &cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "INI settings file", Required: true}

var nodeCommand = &cli.Command{
	Name:  "node",
	Usage: "run the node beside one target VM",
	Flags: []cli.Flag{settingsFlag},
	Action: func(c *cli.Context) error {
		s := settings.Node{ClockSkew: time.Second}
		if err := settings.Load(c.String("settings"), "node", &s); err != nil {
			return err
		}
		lg, closer, err := timeline.Open(s.Timeline, s.Instance)
		if err != nil {
			return err
		}
		defer closer.Close()
		n := node.New(node.Config{Settings: s, Log: lg, ClockSkew: s.ClockSkew})
		return runUntilSignal(n.Serve, func(ctx context.Context) { n.Shutdown(ctx) })
	},
}

var targetCommand = &cli.Command{
	Name:  "target",
	Usage: "run the stand-in back end of one service",
	Flags: []cli.Flag{settingsFlag},
	Action: func(c *cli.Context) error {
		var s settings.Target
		if err := settings.Load(c.String("settings"), "target", &s); err != nil {
			return err
		}
		g, err := fetchConfig(s.ConfigServiceURL)
		if err != nil {
			return err
		}
		if g.Services[s.Service] == nil {
			return eris.Errorf("target: service %s is not in the current configuration", s.Service)
		}
		lg, closer, err := timeline.Open(s.Timeline, s.Service+"-target@"+s.HTTP)
		if err != nil {
			return err
		}
		defer closer.Close()
		t := target.New(target.Config{Service: s.Service, Graph: g, NodeURL: s.Node, ColdStart: s.ColdStart, HealthLag: s.HealthLag})
		l, err := inbound.ListenCallers(s.HTTP)
		if err != nil {
			return eris.Wrapf(err, "listen http %s", s.HTTP)
		}
		lg.WithField("http", s.HTTP).Info("target_started")
		defer lg.Info("target_stopped")
		return serveHTTP(t.LimitConnections(l), t.Handler(), func() {
			lg.Info("target_leaving")
			t.DrainAndWait()
		})
	},
}

var configServiceCommand = &cli.Command{
	Name:  "platform",
	Usage: "run the stand-in configuration service and VM list",
	Flags: []cli.Flag{settingsFlag},
	Action: func(c *cli.Context) error {
		var s settings.ConfigService
		if err := settings.Load(c.String("settings"), "platform", &s); err != nil {
			return err
		}
		var text []byte
		if s.Config != "" {
			var err error
			if text, err = os.ReadFile(s.Config); err != nil {
				return eris.Wrap(err, "platform: read initial configuration")
			}
		}
		lg, closer, err := timeline.Open(s.Timeline, "platform")
		if err != nil {
			return err
		}
		defer closer.Close()
		p, err := configservice.New(configservice.Config{InitialConfig: text, Log: lg})
		if err != nil {
			return err
		}
		l, err := inbound.ListenCallers(s.HTTP)
		if err != nil {
			return eris.Wrapf(err, "listen http %s", s.HTTP)
		}
		return serveHTTP(l, p.Handler(), func() {})
	},
}

// serveHTTP serves h on l until SIGTERM or SIGINT, then calls drain and shuts
// down gracefully.
func serveHTTP(l net.Listener, h http.Handler, drain func()) error {
	srv := inbound.NewServer(inbound.Config{Handler: h})
	serve := func() error { return srv.Serve(l) }
	return runUntilSignal(serve, func(ctx context.Context) {
		drain()
		srv.Shutdown(ctx)
	})
}

// runUntilSignal runs serve until it fails or until SIGTERM or SIGINT. After a
// signal it returns only once stop has returned: serve returns as soon as stop
// begins, while stop still waits for requests in progress.
func runUntilSignal(serve func() error, stop func(context.Context)) error {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGTERM, syscall.SIGINT)
	failed := make(chan error, 1)
	go func() { failed <- serve() }()
	select {
	case err := <-failed:
		return err
	case <-sig:
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	stop(ctx)
	return nil
}

// fetchConfig fetches the current configuration from the configuration service
// at base, its base URL.
func fetchConfig(base string) (*callgraph.Graph, error) {
	client := answer.NewClient(&http.Transport{})
	defer client.CloseIdleConnections()
	resp, err := client.Get(base + "/v1/config")
	if err != nil {
		return nil, eris.Wrap(err, "fetch configuration from platform")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("fetch configuration from platform: %s", resp.Status)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	return callgraph.Parse(text)
}
