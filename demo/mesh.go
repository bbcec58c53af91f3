package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/target"
	"github.com/rotisserie/eris"
)

type (
	// Config is what a Mesh is built from.
	Config struct {
		Text     []byte
		Platform string // host:port of the platform stand-in; port 0 for any
		Log      log.Interface
	}

	// Mesh is one running deployment.
	Mesh struct {
		Graph    *callgraph.Graph
		Platform *platform.Platform
		Nodes    map[string]*node.Node
		Targets  map[string]*target.Target
		// PlatformURL is the base URL of the platform stand-in.
		PlatformURL string
		servers     []*http.Server
	}
)

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
	paddr, err := m.listen(cfg.Platform, m.Platform.Handler())
	if err != nil {
		return nil, err
	}
	m.PlatformURL = "http://" + paddr
	// Every node's addresses are bound before any target takes a port of
	// its own: a target on port 0 could otherwise be handed a port the
	// text names for a node that has not started yet.
	var bound []listeners
	for _, name := range g.Names() {
		for _, in := range g.Services[name].Instances {
			ls, err := listen(in)
			if err != nil {
				closeAll(bound)
				return nil, err
			}
			bound = append(bound, ls)
		}
	}
	for i, ls := range bound {
		if err := m.startInstance(cfg.Log, ls); err != nil {
			closeAll(bound[i:])
			m.Stop(context.Background())
			return nil, err
		}
	}
	return m, nil
}

// listeners are the bound addresses of one instance's node.
type listeners struct {
	in   callgraph.Instance
	http net.Listener
	peer net.Listener
}

func listen(in callgraph.Instance) (listeners, error) {
	hl, err := net.Listen("tcp", in.HTTP)
	if err != nil {
		return listeners{}, eris.Wrapf(err, "listen %s", in.HTTP)
	}
	pl, err := net.Listen("tcp", in.Peer)
	if err != nil {
		hl.Close()
		return listeners{}, eris.Wrapf(err, "listen %s", in.Peer)
	}
	return listeners{in: in, http: hl, peer: pl}, nil
}

func closeAll(ls []listeners) {
	for _, l := range ls {
		l.http.Close()
		l.peer.Close()
	}
}

// startInstance starts the stand-in target of one instance on any free
// loopback port, then its node on the addresses the text gives.
func (m *Mesh) startInstance(lg log.Interface, ls listeners) error {
	in := ls.in
	service, _, _ := m.Graph.Instance(in.Name)
	t := target.New(target.Config{Service: service.Name, Graph: m.Graph, Node: "http://" + in.HTTP})
	taddr, err := m.listen("127.0.0.1:0", t.Handler())
	if err != nil {
		return err
	}
	m.Targets[in.Name] = t
	n := node.New(node.Config{
		Settings: settings.Node{Instance: in.Name, DC: in.DC, HTTP: in.HTTP, Peer: in.Peer,
			Target: "http://" + taddr, Platform: m.PlatformURL},
		Graph: m.Graph,
		Log:   lg.WithField("process", in.Name),
	})
	go n.ServeOn(ls.http, ls.peer)
	m.Nodes[in.Name] = n
	return nil
}

// listen serves h on addr and returns the address bound.
func (m *Mesh) listen(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrapf(err, "listen %s", addr)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return l.Addr().String(), nil
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
