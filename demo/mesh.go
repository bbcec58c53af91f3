package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/inbound"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/settings"
	"github.com/oatpin/oatpin/target"
	"github.com/rotisserie/eris"
)

// startTimeout bounds the wait for all nodes of a mesh to become ready.
const startTimeout = 10 * time.Second

type (
	// Config configures a Mesh.
	Config struct {
		InitialConfig     []byte // configuration of the deployment, in INI format
		ConfigServiceAddr string // host:port to listen on for the configuration service; port 0 for any
		// AnyPort replaces the configured addresses of every instance by free
		// loopback ports, so that several meshes can run at the same time.
		AnyPort bool
		// Dial opens connections from one instance's node to other nodes; nil
		// for TCP. Tests use it to inject network failures.
		Dial func(ctx context.Context, from callgraph.Instance, addr string) (net.Conn, error)
		// Baseline disables the overload control of every node, for comparison;
		// see node.Config.Baseline.
		Baseline bool
		Log      log.Interface
	}

	// Mesh is a running deployment.
	Mesh struct {
		Graph         *callgraph.Graph
		ConfigService *configservice.Server
		Nodes         map[string]*node.Node
		Targets       map[string]*target.Target
		// ConfigServiceURL is the base URL of the simulated configuration service.
		ConfigServiceURL string
		servers          []*inbound.Server
		targetURLs       map[string]string
	}
)

// Start starts the configuration service and every target and node of
// cfg.InitialConfig, and waits until all nodes are ready. On an error, it stops
// what it has started.
func Start(cfg Config) (*Mesh, error) {
	if cfg.Log == nil {
		cfg.Log = log.Log
	}
	text, listeners, err := listenNodes(cfg)
	if err != nil {
		return nil, err
	}
	g, err := callgraph.Parse(text)
	if err != nil {
		closeListeners(listeners)
		return nil, err
	}
	m := &Mesh{Graph: g, Nodes: map[string]*node.Node{}, Targets: map[string]*target.Target{}, targetURLs: map[string]string{}}
	m.ConfigService, err = configservice.New(configservice.Config{InitialConfig: text, Log: cfg.Log.WithField("process", "platform")})
	if err == nil {
		var configServiceAddr string
		configServiceAddr, err = m.listenAndServe(cfg.ConfigServiceAddr, m.ConfigService.Handler())
		m.ConfigServiceURL = "http://" + configServiceAddr
	}
	if err != nil {
		closeListeners(listeners)
		return nil, err
	}
	for _, name := range g.ServiceNames() {
		for _, in := range g.Services[name].Instances {
			pair := listeners[in.Name]
			delete(listeners, in.Name)
			if err := m.startInstance(cfg, name, in, pair); err != nil {
				closeListeners(listeners)
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

// waitReady waits until every node is ready, or returns an error after
// startTimeout.
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

// listenNodes opens the listeners of all nodes before any target listens:
// otherwise, the kernel could assign a target a port that is configured for a
// node that has not started yet. It returns the configuration in use, which
// differs from cfg.InitialConfig with cfg.AnyPort, and the HTTP and peer
// listeners by instance name.
func listenNodes(cfg Config) ([]byte, map[string][2]net.Listener, error) {
	if cfg.AnyPort {
		return assignPorts(cfg.InitialConfig)
	}
	g, err := callgraph.Parse(cfg.InitialConfig)
	if err != nil {
		return nil, nil, err
	}
	listeners := map[string][2]net.Listener{}
	for _, name := range g.ServiceNames() {
		for _, in := range g.Services[name].Instances {
			var pair [2]net.Listener
			for i, addr := range []string{in.HTTP, in.Peer} {
				if pair[i], err = net.Listen("tcp", addr); err != nil {
					closeListeners(listeners)
					closeListeners(map[string][2]net.Listener{"": pair})
					return nil, nil, eris.Wrapf(err, "listen %s", addr)
				}
			}
			listeners[in.Name] = pair
		}
	}
	return cfg.InitialConfig, listeners, nil
}

// startInstance starts the simulated target of an instance on a free loopback
// port, then its node on the HTTP and peer listeners.
func (m *Mesh) startInstance(cfg Config, service string, in callgraph.Instance, listeners [2]net.Listener) error {
	t := target.New(target.Config{Service: service, Graph: m.Graph, NodeURL: "http://" + in.HTTP})
	targetListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		listeners[0].Close()
		listeners[1].Close()
		return eris.Wrap(err, "listen on a loopback port for a target")
	}
	targetAddr := m.serve(t.LimitConnections(targetListener), t.Handler())
	m.Targets[in.Name] = t
	m.targetURLs[in.Name] = "http://" + targetAddr
	var dial func(context.Context, string) (net.Conn, error)
	if cfg.Dial != nil {
		dial = func(ctx context.Context, addr string) (net.Conn, error) { return cfg.Dial(ctx, in, addr) }
	}
	n := node.New(node.Config{
		Dial: dial,
		Settings: settings.Node{Instance: in.Name, DC: in.DC, HTTP: in.HTTP, Peer: in.Peer,
			Target: "http://" + targetAddr, ConfigServiceURL: m.ConfigServiceURL},
		Graph:    m.Graph,
		Log:      cfg.Log.WithField("process", in.Name),
		Baseline: cfg.Baseline,
	})
	go n.ServeOn(listeners[0], listeners[1])
	m.Nodes[in.Name] = n
	return nil
}

// listenAndServe serves h on addr and returns the address of the listener.
func (m *Mesh) listenAndServe(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", eris.Wrapf(err, "listen %s", addr)
	}
	return m.serve(l, h), nil
}

// serve serves h on l in the background and returns the address of l.
func (m *Mesh) serve(l net.Listener, h http.Handler) string {
	s := inbound.NewServer(inbound.Config{Handler: h})
	m.servers = append(m.servers, s)
	go s.Serve(l)
	return l.Addr().String()
}

// ConfigVersions returns the configuration version that each node uses, by
// instance name; nodes without a configuration are left out.
func (m *Mesh) ConfigVersions() map[string]callgraph.Version {
	out := make(map[string]callgraph.Version, len(m.Nodes))
	for name, n := range m.Nodes {
		if g := n.Graph(); g != nil {
			out[name] = g.Version
		}
	}
	return out
}

// TargetURL returns the base URL of the simulated target of an instance, or an
// empty string if there is no such instance.
func (m *Mesh) TargetURL(instance string) string { return m.targetURLs[instance] }

// Stop shuts down all nodes gracefully, then the targets and the configuration
// service.
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
