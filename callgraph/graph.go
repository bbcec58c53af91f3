package callgraph

import (
	"sort"
	"time"

	"github.com/oatpin/oatpin/call"
)

type (
	// Version orders configuration texts; a node applies only a newer one.
	Version uint64

	// DC names a data centre, such as halle-nord.
	DC string

	// Graph is one accepted configuration text.
	Graph struct {
		Version  Version
		Retries  int // retries one whole request may cause over all hops
		Services map[string]*Service
		Text     []byte    // the text as submitted
		Accepted time.Time // when the platform accepted it; zero if that is not known

		byName map[string]place // instances of a parsed text
	}

	// place says where an instance stands in a Graph.
	place struct {
		service *Service
		index   int
	}

	// Service is one service of the call graph.
	Service struct {
		Name        string
		Slots       int // requests one instance serves at once
		Connections int // connections one instance holds open
		DependsOn   []string
		Instances   []Instance
		Operations  map[string]*Operation
	}

	// Instance is one VM of a service with its node's addresses.
	Instance struct {
		Name string
		DC   DC
		HTTP string // host:port of the node's HTTP listener
		Peer string // host:port of the node's msgpack listener
	}

	// Operation is one thing a service does.
	Operation struct {
		Name       string
		Class      call.Class
		Idempotent bool
		Deadline   time.Duration
		Retries    int           // retries at one hop, within the request's budget
		Cost       time.Duration // service time of the stand-in target
		Calls      []Ref         // calls made, in order, while serving it
	}

	// Ref names an operation of a service, written service.operation.
	Ref struct {
		Service   string
		Operation string
	}
)

// String returns r as service.operation.
func (r Ref) String() string { return r.Service + "." + r.Operation }

// Operation returns the named operation, or nil.
func (g *Graph) Operation(r Ref) *Operation {
	s := g.Services[r.Service]
	if s == nil {
		return nil
	}
	return s.Operations[r.Operation]
}

// Instance finds the instance with the given name and its service.
func (g *Graph) Instance(name string) (*Service, Instance, bool) {
	p, ok := g.byName[name]
	if !ok {
		return nil, Instance{}, false
	}
	return p.service, p.service.Instances[p.index], true
}

// index notes where each instance stands; every entry call asks for one.
func (g *Graph) index() {
	g.byName = map[string]place{}
	for _, s := range g.Services {
		for i, in := range s.Instances {
			g.byName[in.Name] = place{service: s, index: i}
		}
	}
}

// Names returns the service names in order.
func (g *Graph) Names() []string {
	names := make([]string, 0, len(g.Services))
	for n := range g.Services {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Depth returns the longest chain of calls that starts at r, counting r.
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
