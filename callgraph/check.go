package callgraph

import (
	"slices"
)

// check reports errors that span sections: services without instances or
// operations, instances listed in two services, unknown dependencies, calls
// to services missing from depends_on, and dependency cycles.
func (p *parser) check(g *Graph) {
	serviceOf := map[string]string{} // instance -> service
	for _, name := range g.ServiceNames() {
		s := g.Services[name]
		line := p.lines.sections[sectionService+"."+name]
		if len(s.Instances) == 0 {
			p.addProblem(line, "service %s has no instance", name)
		}
		if len(s.Operations) == 0 {
			p.addProblem(line, "service %s has no operation", name)
		}
		for _, in := range s.Instances {
			if other, ok := serviceOf[in.Name]; ok {
				line := p.lines.sections[sectionService+"."+name+"."+sectionInstance+"."+in.Name]
				p.addProblem(line, "instance %s is listed in service %s too", in.Name, other)
			}
			serviceOf[in.Name] = name
		}
		for _, d := range s.DependsOn {
			if g.Services[d] == nil {
				p.addProblem(p.lines.lineOf(sectionService+"."+name, "depends_on"), "service %s depends on %s, which is not listed", name, d)
			}
		}
		for opName, op := range s.Operations {
			section := sectionService + "." + name + "." + sectionOperation + "." + opName
			for _, c := range op.Calls {
				switch {
				case !slices.Contains(s.DependsOn, c.Service):
					p.addProblem(p.lines.lineOf(section, "calls"), "operation %s.%s calls %s, but %s does not depend on %s", name, opName, c, name, c.Service)
				case g.Operation(c) == nil:
					p.addProblem(p.lines.lineOf(section, "calls"), "operation %s.%s calls %s, which is not listed", name, opName, c)
				}
			}
		}
	}
	if cycle := findCycle(g); cycle != nil {
		p.addProblem(0, "services depend on each other in a cycle: %v", cycle)
	}
}

// findCycle returns one cycle of depends_on by depth-first search, or nil.
func findCycle(g *Graph) []string {
	const (
		unvisited = iota
		visiting
		done
	)
	state := map[string]int{}
	var path []string
	var visit func(string) []string
	visit = func(n string) []string {
		state[n] = visiting
		path = append(path, n)
		for _, d := range g.Services[n].DependsOn {
			if g.Services[d] == nil {
				continue
			}
			switch state[d] {
			case visiting:
				return append(slices.Clone(path[slices.Index(path, d):]), d)
			case unvisited:
				if c := visit(d); c != nil {
					return c
				}
			}
		}
		path = path[:len(path)-1]
		state[n] = done
		return nil
	}
	for _, n := range g.ServiceNames() {
		if state[n] == unvisited {
			if c := visit(n); c != nil {
				return c
			}
		}
	}
	return nil
}
