package callgraph

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/oatpin/oatpin/call"
	"gopkg.in/ini.v1"
)

const (
	sectionService     = "service"
	sectionInstance    = "instance"
	sectionOperation   = "operation"
	defaultRetryBudget = 3
)

// parser collects all problems of one configuration instead of stopping at the first.
type parser struct {
	lines    lineIndex
	problems []Problem
}

// Parse parses and validates a configuration. A failure is a *ValidationError
// (matching ErrInvalid) that lists every problem with its line.
func Parse(text []byte) (*Graph, error) {
	f, err := ini.LoadSources(ini.LoadOptions{Insensitive: false}, text)
	if err != nil {
		return nil, &ValidationError{Problems: []Problem{{Reason: err.Error()}}}
	}
	p := &parser{lines: indexLines(text)}
	g := &Graph{Services: map[string]*Service{}, Text: text}
	root := f.Section(ini.DefaultSection)
	g.Version = Version(p.uint(root, "version", 0, true))
	g.RetryBudget = p.int(root, "retries", defaultRetryBudget)
	for _, s := range f.Sections() {
		p.parseSection(g, s)
	}
	p.check(g)
	if len(p.problems) > 0 {
		slices.SortStableFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
		return nil, &ValidationError{Problems: p.problems}
	}
	g.indexInstances()
	return g, nil
}

func (p *parser) addProblem(line int, format string, args ...any) {
	p.problems = append(p.problems, Problem{Line: line, Reason: fmt.Sprintf(format, args...)})
}

func (p *parser) parseSection(g *Graph, s *ini.Section) {
	name := s.Name()
	if name == ini.DefaultSection {
		return
	}
	parts := strings.Split(name, ".")
	line := p.lines.sections[name]
	if parts[0] != sectionService || (len(parts) != 2 && len(parts) != 4) {
		p.addProblem(line, "section [%s]: want [service.NAME], [service.NAME.instance.NAME] or [service.NAME.operation.NAME]", name)
		return
	}
	svc := g.Services[parts[1]]
	if svc == nil {
		svc = &Service{Name: parts[1], Operations: map[string]*Operation{}}
		g.Services[parts[1]] = svc
	}
	if len(parts) == 2 {
		svc.Slots = p.int(s, "slots", 0)
		svc.Connections = p.int(s, "connections", 0)
		svc.DependsOn = splitList(s, "depends_on")
		if svc.Slots <= 0 {
			p.addProblem(p.lines.lineOf(name, "slots"), "service %s: slots must be a whole number above 0", svc.Name)
		}
		return
	}
	switch parts[2] {
	case sectionInstance:
		svc.Instances = append(svc.Instances, p.parseInstance(s, parts[3]))
	case sectionOperation:
		svc.Operations[parts[3]] = p.parseOperation(s, parts[3])
	default:
		p.addProblem(line, "section [%s]: %q is neither instance nor operation", name, parts[2])
	}
}

func (p *parser) parseInstance(s *ini.Section, name string) Instance {
	in := Instance{Name: name, DC: DC(s.Key("dc").String()), HTTP: s.Key("http").String(), Peer: s.Key("peer").String()}
	for key, v := range map[string]string{"dc": string(in.DC), "http": in.HTTP, "peer": in.Peer} {
		if v == "" {
			p.addProblem(p.lines.lineOf(s.Name(), key), "instance %s: %s is missing", name, key)
		}
	}
	return in
}

func (p *parser) parseOperation(s *ini.Section, name string) *Operation {
	op := &Operation{
		Name:        name,
		Class:       call.Class(s.Key("class").String()),
		Idempotent:  p.bool(s, "idempotent"),
		Timeout:     p.duration(s, "deadline", time.Second),
		MaxRetries:  p.int(s, "retries", 0),
		ServiceTime: p.duration(s, "cost", time.Millisecond),
	}
	if op.Class != call.Critical && op.Class != call.Sheddable {
		p.addProblem(p.lines.lineOf(s.Name(), "class"), "operation %s: class must be critical or sheddable, not %q", name, op.Class)
	}
	for _, c := range splitList(s, "calls") {
		svc, opName, ok := strings.Cut(c, ".")
		if !ok {
			p.addProblem(p.lines.lineOf(s.Name(), "calls"), "operation %s: call %q must be written service.operation", name, c)
			continue
		}
		op.Calls = append(op.Calls, Ref{Service: svc, Operation: opName})
	}
	return op
}

func (p *parser) int(s *ini.Section, key string, def int) int {
	if !s.HasKey(key) {
		return def
	}
	n, err := s.Key(key).Int()
	if err != nil || n < 0 {
		p.addProblem(p.lines.lineOf(s.Name(), key), "%s: %q is not a whole number", key, s.Key(key).String())
	}
	return n
}

func (p *parser) uint(s *ini.Section, key string, def uint64, required bool) uint64 {
	if !s.HasKey(key) {
		if required {
			p.addProblem(0, "%s is missing at the top of the text", key)
		}
		return def
	}
	n, err := s.Key(key).Uint64()
	if err != nil || n == 0 {
		p.addProblem(p.lines.lineOf(s.Name(), key), "%s: %q is not a whole number above 0", key, s.Key(key).String())
	}
	return n
}

func (p *parser) bool(s *ini.Section, key string) bool {
	if !s.HasKey(key) {
		return false
	}
	v, err := s.Key(key).Bool()
	if err != nil {
		p.addProblem(p.lines.lineOf(s.Name(), key), "%s: %q is not true or false", key, s.Key(key).String())
	}
	return v
}

func (p *parser) duration(s *ini.Section, key string, def time.Duration) time.Duration {
	if !s.HasKey(key) {
		return def
	}
	d, err := s.Key(key).Duration()
	if err != nil || d <= 0 {
		p.addProblem(p.lines.lineOf(s.Name(), key), "%s: %q is not a duration such as 250ms", key, s.Key(key).String())
	}
	return d
}

func splitList(s *ini.Section, key string) []string {
	if !s.HasKey(key) {
		return nil
	}
	var out []string
	for _, v := range strings.Split(s.Key(key).String(), ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}
