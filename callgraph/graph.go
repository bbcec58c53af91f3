package callgraph

import (
	"sort"
	"time"

	"github.com/oatpin/oatpin/call"
)

type (
	// Version orders configurations; a node applies only newer versions.
	Version uint64

	// DC names a data centre, such as halle-nord.
	DC string

	// Graph is one validated configuration.
	Graph struct {
		Version     Version
		RetryBudget int // retries allowed for one request across all hops
		Services    map[string]*Service
		Text        []byte    // source text as submitted
		AcceptedAt  time.Time // when the configuration service accepted it; zero if unknown

		byName map[string]instancePos // instances by name; set by Parse
	}

	// instancePos locates an instance within its service.
	instancePos struct {
		service *Service
		index   int
	}

	// Service is one service of the call graph.
	Service struct {
		Name        string
		Slots       int // maximum concurrent requests per instance
		Connections int // maximum open connections per instance; 0 for no limit
		DependsOn   []string
		Instances   []Instance
		Operations  map[string]*Operation
	}

	// Instance is one VM of a service and the addresses of its node.
	Instance struct {
		Name string
		DC   DC
		HTTP string // host:port of the node's HTTP listener
		Peer string // host:port of the node's msgpack listener
	}

	// Operation is one operation of a service and its request policy.
	Operation struct {
		Name        string
		Class       call.Class
		Idempotent  bool
		Timeout     time.Duration
		MaxRetries  int           // retries per hop, within the request's RetryBudget
		ServiceTime time.Duration // in the simulated target
		Calls       []Ref         // downstream calls, in order
	}

	// Ref identifies an operation, written service.operation.
	Ref struct {
		Service   string
		Operation string
	}
)

// String formats r as service.operation.
func (r Ref) String() string { return r.Service + "." + r.Operation }

// Operation returns the operation r refers to, or nil if there is none.
func (g *Graph) Operation(r Ref) *Operation {
	s := g.Services[r.Service]
	if s == nil {
		return nil
	}
	return s.Operations[r.Operation]
}

// Instance returns the named instance and its service, or false if
// there is none.
func (g *Graph) Instance(name string) (*Service, Instance, bool) {
	p, ok := g.byName[name]
	if !ok {
		return nil, Instance{}, false
	}
	return p.service, p.service.Instances[p.index], true
}

// indexInstances fills byName. A node looks up an instance for every call that
// enters the mesh through it.
func (g *Graph) indexInstances() {
	g.byName = map[string]instancePos{}
	for _, s := range g.Services {
		for i, in := range s.Instances {
			g.byName[in.Name] = instancePos{service: s, index: i}
		}
	}
}

// ServiceNames returns the service names in sorted order.
func (g *Graph) ServiceNames() []string {
	names := make([]string, 0, len(g.Services))
	for n := range g.Services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Depth returns the length of the longest call chain that starts at r, including r.
func (g *Graph) Depth(r Ref) int {
	op := g.Operation(r)
	if op == nil {
		return 0
	}
	deepest := 0
	for _, c := range op.Calls {
		deepest = max(deepest, g.Depth(c))
	}
	return deepest + 1
}
