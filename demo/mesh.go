package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/target"
	"github.com/rotisserie/eris"
)

// startTimeout bounds the wait for all nodes of a mesh to be ready.
const startTimeout = 10 * time.Second

type (
	// Config is what a Mesh is built from.
	Config struct {
		Text     []byte
		Platform string // host:port of the platform stand-in; port 0 for any
		// AnyPort moves every instance to fresh loopback ports, rewriting
		// the text, so that meshes started side by side (tests) never
		// collide.
		AnyPort bool
		// Dial opens connections from one instance's node to others; nil for
		// TCP. Failure tests cut instances off with it.
		Dial func(ctx context.Context, from callgraph.Instance, addr string) (net.Conn, error)
		// Baseline runs every node as the naive baseline (node.Config.Baseline).
		Baseline bool
		Log      log.Interface
	}

	// Mesh is one running deployment.
	Mesh struct {
		Graph    *callgraph.Graph
		Platform *configservice.Platform
		Nodes    map[string]*node.Node
		Targets  map[string]*target.Target
		// PlatformURL is the base URL of the platform stand-in.
		PlatformURL string
		servers     []*http.Server
		targetURLs  map[string]string
	}
)

// Start starts the platform, every target and every node of cfg.Text.
func Start(cfg Config) (*Mesh, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	text, bound, err := bind(cfg)
	if err != nil {
		return nil, err
	}
	g, err := callgraph.Parse(text)
	if err != nil {
		closeBound(bound)
		return nil, err
	}
	m := &Mesh{Graph: g, Nodes: map[string]*node.Node{}, Targets: map[string]*target.Target{}, targetURLs: map[string]string{}}
	m.Platform, err = configservice.New(configservice.Config{Text: text, Log: cfg.Log.WithField("process", "platform")})
	if err == nil {
		var paddr string
		paddr, err = m.listen(cfg.Platform, m.Platform.Handler())
		m.PlatformURL = "http://" + paddr
	}
	if err != nil {
		closeBound(bound)
		return nil, err
	}
	for _, name := range g.Names() {
		for _, in := range g.Services[name].Instances {
			pair := bound[in.Name]
			delete(bound, in.Name)
			if err := m.startInstance(cfg, name, in, pair); err != nil {
				closeBound(bound)
				m.Stop(context.Background())
				return nil, err
			}
		}
	}
	if err := m.waitReady(); err != nil {
		m.Stop(context.Background())
		return nil, err
	}
	return m, nil
}

// waitReady waits until every node can serve every call.
func (m *Mesh) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for name, n := range m.Nodes {
		for !n.Ready() {
			if time.Now().After(deadline) {
				return eris.Errorf("node %s not ready after %s", name, startTimeout)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// bind opens every node's listeners before any target takes a port of its
// own: a target on port 0 could otherwise be handed a port the text names
// for a node that has not started yet.
func bind(cfg Config) ([]byte, map[string][2]net.Listener, error) {
	if cfg.AnyPort {
		return relocate(cfg.Text)
	}
	g, err := callgraph.Parse(cfg.Text)
	if err != nil {
		return nil, nil, err
	}
	bound := map[string][2]net.Listener{}
	for _, name := range g.Names() {
		for _, in := range g.Services[name].Instances {
			var pair [2]net.Listener
			for i, addr := range []string{in.HTTP, in.Peer} {
				if pair[i], err = net.Listen("tcp", addr); err != nil {
					closeBound(bound)
					closeBound(map[string][2]net.Listener{"": pair})
					return nil, nil, eris.Wrapf(err, "listen %s", addr)
				}
			}
			bound[in.Name] = pair
		}
	}
	return cfg.Text, bound, nil
}

// startInstance starts the stand-in target of one instance on any free
// loopback port, then its node on the addresses the text gives.
func (m *Mesh) startInstance(cfg Config, service string, in callgraph.Instance, ls [2]net.Listener) error {
	t := target.New(target.Config{Service: service, Graph: m.Graph, Node: "http://" + in.HTTP})
	tl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		ls[0].Close()
		ls[1].Close()
		return eris.Wrap(err, "listen for a target")
	}
	taddr := m.serve(t.Limit(tl), t.Handler())
	m.Targets[in.Name] = t
	m.targetURLs[in.Name] = "http://" + taddr
	var dial func(context.Context, string) (net.Conn, error)
	if cfg.Dial != nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return cfg.Dial(ctx, in, addr) }
	}
	n := node.New(node.Config{
		Dial: dial,
		Settings: settings.Node{Instance: in.Name, DC: in.DC, HTTP: in.HTTP, Peer: in.Peer,
			Target: "http://" + taddr, Platform: m.PlatformURL},
		Graph:    m.Graph,
		Log:      cfg.Log.WithField("process", in.Name),
		Baseline: cfg.Baseline,
	})
	go n.ServeOn(ls[0], ls[1])
	m.Nodes[in.Name] = n
	return nil
}

// listen serves h on addr and returns the address bound.
func (m *Mesh) listen(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrapf(err, "listen %s", addr)
	}
	return m.serve(l, h), nil
}

// serve serves h on l and returns l's address.
func (m *Mesh) serve(l net.Listener, h http.Handler) string {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return l.Addr().String()
}

// Versions returns the text version in force at each node, by instance.
func (m *Mesh) Versions() map[string]callgraph.Version {
	out := make(map[string]callgraph.Version, len(m.Nodes))
	for name, n := range m.Nodes {
		if g := n.Graph(); g != nil {
			out[name] = g.Version
		}
	}
	return out
}

// TargetURL returns the base URL of an instance's stand-in target.
func (m *Mesh) TargetURL(instance string) string { return m.targetURLs[instance] }

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
