package settings

import (
	"net"
	"net/url"
	"reflect"
	"strings"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// ErrInvalid is wrapped by every error about a settings file.
var ErrInvalid = eris.New("invalid settings")

type (
	// Node is the [node] section: one node beside one target VM.
	Node struct {
		Instance string       `ini:"instance"` // name of this instance in the configuration text
		DC       callgraph.DC `ini:"dc"`
		HTTP     string       `ini:"http"`     // host:port for callers and the local target
		Peer     string       `ini:"peer"`     // host:port for other nodes (msgpack over TCP)
		Target   string       `ini:"target"`   // base URL of the local target
		Platform string       `ini:"platform"` // base URL of the configuration service
		// Seeds are HTTP addresses of other nodes, asked for the text while
		// this node holds none and the platform does not answer.
		Seeds     []string      `ini:"seeds"`
		ClockSkew time.Duration `ini:"clock_skew"` // how far clocks of callers and nodes may differ; default 1s
		Timeline  string        `ini:"timeline"`   // file for the time line; empty for standard error
	}

	// Target is the [target] section: the stand-in back end.
	Target struct {
		Service  string `ini:"service"`
		HTTP     string `ini:"http"`
		Node     string `ini:"node"` // base URL of the local node, for calls to dependencies
		Platform string `ini:"platform"`
		// ColdStart is how long after its start work takes three times as
		// long; HealthLag how old the health endpoint's answer may be.
		ColdStart time.Duration `ini:"cold_start"`
		HealthLag time.Duration `ini:"health_lag"`
		Timeline  string        `ini:"timeline"`
	}

	// Platform is the [platform] section: the stand-in configuration service.
	Platform struct {
		HTTP     string `ini:"http"`
		Config   string `ini:"config"` // file with the first text; empty for none
		Timeline string `ini:"timeline"`
	}
)

// Load reads the named section of the INI file at path into v, then checks
// that every address is well formed.
func Load(path, section string, v any) error {
	f, err := ini.Load(path)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	if !f.HasSection(section) {
		return eris.Wrapf(ErrInvalid, "%s: no [%s] section", path, section)
	}
	return read(f, path, section, v)
}

// LoadOptional is Load for a section that may be missing; v then stays as it
// is.
func LoadOptional(path, section string, v any) error {
	f, err := ini.Load(path)
	if err != nil {
		return eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	if !f.HasSection(section) {
		return nil
	}
	return read(f, path, section, v)
}

func read(f *ini.File, path, section string, v any) error {
	if err := unknownKeys(f.Section(section), v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	if err := f.Section(section).StrictMapTo(v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	if err := check(v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	return nil
}

// unknownKeys refuses keys that v has no field for: a misspelt key would
// otherwise be dropped silently and its default used.
func unknownKeys(s *ini.Section, v any) error {
	known := map[string]bool{}
	t := reflect.TypeOf(v).Elem()
	for i := range t.NumField() {
		known[t.Field(i).Tag.Get("ini")] = true
	}
	var unknown []string
	for _, k := range s.KeyStrings() {
		if !known[k] {
			unknown = append(unknown, k)
		}
	}
	if len(unknown) > 0 {
		return eris.Errorf("unknown keys: %s", strings.Join(unknown, ", "))
	}
	return nil
}

func check(v any) error {
	var problems []string
	need := func(name, value string, ok func(string) bool) {
		switch {
		case value == "":
			problems = append(problems, name+" is missing")
		case !ok(value):
			problems = append(problems, name+" "+value+" is not well formed")
		}
	}
	atLeast := func(name string, ok bool) {
		if !ok {
			problems = append(problems, name+" is too small")
		}
	}
	switch s := v.(type) {
	case *Node:
		need("instance", s.Instance, nonEmpty)
		need("dc", string(s.DC), nonEmpty)
		need("http", s.HTTP, hostPort)
		need("peer", s.Peer, hostPort)
		need("target", s.Target, baseURL)
		need("platform", s.Platform, baseURL)
		for _, seed := range s.Seeds {
			need("seed", seed, hostPort)
		}
	case *Sidecar:
		need("name", s.Name, nonEmpty)
		need("dc", string(s.DC), nonEmpty)
		need("service", s.Service, nonEmpty)
		for _, a := range []struct{ name, addr string }{{"target", s.Target}, {"callers", s.Callers}, {"peer", s.Peer},
			{"ready", s.Ready}, {"metrics", s.Metrics}, {"store", s.Store}} {
			need(a.name, a.addr, hostPort)
		}
		if s.Control != "" {
			need("control", s.Control, hostPort)
		}
		for _, seed := range s.Seeds {
			need("seed", seed, hostPort)
		}
		atLeast("memory_mb", s.MemoryMB > 0)
		atLeast("grace", s.Grace > 0)
		atLeast("repeat_window", s.RepeatWindow > 0)
		atLeast("repeat_ratio", s.RepeatRatio >= 0)
		atLeast("repeat_slack", s.RepeatSlack >= 0)
	case *Target:
		need("service", s.Service, nonEmpty)
		need("http", s.HTTP, hostPort)
		need("node", s.Node, baseURL)
	case *Platform:
		need("http", s.HTTP, hostPort)
	}
	if len(problems) > 0 {
		return eris.New(strings.Join(problems, "; "))
	}
	return nil
}

func nonEmpty(string) bool { return true }

func hostPort(v string) bool {
	_, _, err := net.SplitHostPort(v)
	return err == nil
}

func baseURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
