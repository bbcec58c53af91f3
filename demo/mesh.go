package demo

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/target"
	"github.com/rotisserie/eris"
)

// targetPortOffset puts each stand-in target at its node's HTTP port plus
// this.
const targetPortOffset = 2000

type (
	// Config is what a Mesh is built from.
	Config struct {
		Text     []byte
		Platform string // host:port of the platform stand-in
		Log      log.Interface
	}

	// Mesh is one running deployment.
	Mesh struct {
		Graph    *callgraph.Graph
		Platform *platform.Platform
		Nodes    map[string]*node.Node
		Targets  map[string]*target.Target
		servers  []*http.Server
	}
)

// TargetAddr returns where the stand-in target of an instance listens.
func TargetAddr(in callgraph.Instance) (string, error) {
	host, port, err := net.SplitHostPort(in.HTTP)
	if err != nil {
		return "", err
	}
	p, err := strconv.Atoi(port)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(p+targetPortOffset)), nil
}

// Start starts the platform, every target and every node of cfg.Text.
func Start(cfg Config) (*Mesh, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	g, err := callgraph.Parse(cfg.Text)
	if err != nil {
		return nil, err
	}
	m := &Mesh{Graph: g, Nodes: map[string]*node.Node{}, Targets: map[string]*target.Target{}}
	m.Platform, err = platform.New(platform.Config{Text: cfg.Text, Log: cfg.Log.WithField("process", "platform")})
	if err != nil {
		return nil, err
	}
	if err := m.listen(cfg.Platform, m.Platform.Handler()); err != nil {
		return nil, err
	}
	for _, name := range g.Names() {
		for _, in := range g.Services[name].Instances {
			if err := m.startInstance(cfg, name, in); err != nil {
				m.Stop(context.Background())
				return nil, err
			}
		}
	}
	return m, nil
}

func (m *Mesh) startInstance(cfg Config, service string, in callgraph.Instance) error {
	taddr, err := TargetAddr(in)
	if err != nil {
		return err
	}
	t := target.New(target.Config{Service: service, Graph: m.Graph, Node: "http://" + in.HTTP})
	if err := m.listen(taddr, t.Handler()); err != nil {
		return err
	}
	m.Targets[in.Name] = t
	hl, err := net.Listen("tcp", in.HTTP)
	if err != nil {
		return eris.Wrapf(err, "listen %s", in.HTTP)
	}
	pl, err := net.Listen("tcp", in.Peer)
	if err != nil {
		hl.Close()
		return eris.Wrapf(err, "listen %s", in.Peer)
	}
	n := node.New(node.Config{
		Settings: settings.Node{Instance: in.Name, DC: in.DC, HTTP: in.HTTP, Peer: in.Peer,
			Target: "http://" + taddr, Platform: "http://" + cfg.Platform},
		Graph: m.Graph,
		Log:   cfg.Log.WithField("process", in.Name),
	})
	go n.ServeOn(hl, pl)
	m.Nodes[in.Name] = n
	return nil
}

func (m *Mesh) listen(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return eris.Wrapf(err, "listen %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return nil
}

// Stop shuts every node down gracefully, then the targets and platform.
func (m *Mesh) Stop(ctx context.Context) {
	done := make(chan struct{}, len(m.Nodes))
	for _, n := range m.Nodes {
		go func() { n.Shutdown(ctx); done <- struct{}{} }()
	}
	for range m.Nodes {
		<-done
	}
	for _, s := range m.servers {
		s.Shutdown(ctx)
	}
}
