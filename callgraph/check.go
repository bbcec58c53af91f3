package callgraph

import (
	"slices"
)

// check finds what is wrong across sections: unknown dependencies, calls
// outside depends_on, cycles, services with no instance or operation,
// instances of two services.
func (p *parser) check(g *Graph) {
	listed := map[string]string{} // instance -> service
	for _, name := range g.Names() {
		s := g.Services[name]
		line := p.ix.sections[sectionService+"."+name]
		if len(s.Instances) == 0 {
			p.add(line, "service %s has no instance", name)
		}
		if len(s.Operations) == 0 {
			p.add(line, "service %s has no operation", name)
		}
		for _, in := range s.Instances {
			if other, ok := listed[in.Name]; ok {
				line := p.ix.sections[sectionService+"."+name+"."+sectionInstance+"."+in.Name]
				p.add(line, "instance %s is listed in service %s too", in.Name, other)
			}
			listed[in.Name] = name
		}
		for _, d := range s.DependsOn {
			if g.Services[d] == nil {
				p.add(p.ix.key(sectionService+"."+name, "depends_on"), "service %s depends on %s, which is not listed", name, d)
			}
		}
		for opName, op := range s.Operations {
			section := sectionService + "." + name + "." + sectionOperation + "." + opName
			for _, c := range op.Calls {
				switch {
				case !slices.Contains(s.DependsOn, c.Service):
					p.add(p.ix.key(section, "calls"), "operation %s.%s calls %s, but %s does not depend on %s", name, opName, c, name, c.Service)
				case g.Operation(c) == nil:
					p.add(p.ix.key(section, "calls"), "operation %s.%s calls %s, which is not listed", name, opName, c)
				}
			}
		}
	}
	if cycle := findCycle(g); cycle != nil {
		p.add(0, "services depend on each other in a cycle: %v", cycle)
	}
}

// findCycle returns one cycle of depends_on, or nil.
func findCycle(g *Graph) []string {
	const (
		unseen = iota
		open
		done
	)
	state := map[string]int{}
	var path []string
	var visit func(string) []string
	visit = func(n string) []string {
		state[n] = open
		path = append(path, n)
		for _, d := range g.Services[n].DependsOn {
			if g.Services[d] == nil {
				continue
			}
			switch state[d] {
			case open:
				return append(slices.Clone(path[slices.Index(path, d):]), d)
			case unseen:
				if c := visit(d); c != nil {
					return c
				}
			}
		}
		path = path[:len(path)-1]
		state[n] = done
		return nil
	}
	for _, n := range g.Names() {
		if state[n] == unseen {
			if c := visit(n); c != nil {
				return c
			}
		}
	}
	return nil
}
