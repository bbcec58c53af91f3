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
	// File is a settings file as it was at one read, so that its sections belong
	// together.
	File struct {
		path string
		ini  *ini.File
	}

	// Node is the [node] section: the node of one target VM.
	Node struct {
		Instance         string       `ini:"instance"` // name of this instance in the configuration
		DC               callgraph.DC `ini:"dc"`
		HTTP             string       `ini:"http"`     // host:port for callers and the local target
		Peer             string       `ini:"peer"`     // host:port for other nodes (msgpack over TCP)
		Target           string       `ini:"target"`   // base URL of the local target
		ConfigServiceURL string       `ini:"platform"` // base URL of the configuration service
		// Seeds are HTTP addresses of other nodes, from which this node fetches
		// its first configuration while the configuration service is
		// unreachable.
		Seeds     []string      `ini:"seeds"`
		ClockSkew time.Duration `ini:"clock_skew"` // maximum skew between clocks of callers and nodes; default 1s
		Timeline  string        `ini:"timeline"`   // timeline file; empty for standard error
	}

	// Target is the [target] section: the simulated back end.
	Target struct {
		Service          string `ini:"service"`
		HTTP             string `ini:"http"`
		Node             string `ini:"node"`     // base URL of the local node, for calls to dependencies
		ConfigServiceURL string `ini:"platform"` // base URL of the configuration service
		// ColdStart is the warm-up period, in which requests take three times
		// as long. HealthLag is the maximum age of a health endpoint response.
		ColdStart time.Duration `ini:"cold_start"`
		HealthLag time.Duration `ini:"health_lag"`
		Timeline  string        `ini:"timeline"`
	}

	// ConfigService is the [platform] section: the simulated configuration service.
	ConfigService struct {
		HTTP     string `ini:"http"`
		Config   string `ini:"config"` // initial configuration file; empty for none
		Timeline string `ini:"timeline"`
	}
)

// Read reads the INI file at path. The error wraps ErrInvalid.
func Read(path string) (*File, error) {
	f, err := ini.Load(path)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%s: %v", path, err)
	}
	return &File{path: path, ini: f}, nil
}

// Load reads the named section of the INI file at path into v, a pointer to a
// struct with ini tags, and validates it. All errors wrap ErrInvalid.
func Load(path, section string, v any) error {
	f, err := Read(path)
	if err != nil {
		return err
	}
	return f.Section(section, v)
}

// Section maps the named section to v, as Load does.
func (f *File) Section(section string, v any) error {
	if !f.ini.HasSection(section) {
		return eris.Wrapf(ErrInvalid, "%s: no [%s] section", f.path, section)
	}
	return mapSection(f.ini, f.path, section, v)
}

// OptionalSection is like Section but leaves v unchanged if the section is missing.
func (f *File) OptionalSection(section string, v any) error {
	if !f.ini.HasSection(section) {
		return nil
	}
	return f.Section(section, v)
}

func mapSection(f *ini.File, path, section string, v any) error {
	if err := rejectUnknownKeys(f.Section(section), v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	if err := f.Section(section).StrictMapTo(v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	if err := validate(v); err != nil {
		return eris.Wrapf(ErrInvalid, "%s: [%s]: %v", path, section, err)
	}
	return nil
}

// rejectUnknownKeys rejects keys that v has no field for, so that a misspelled
// key does not silently leave its default in effect.
func rejectUnknownKeys(s *ini.Section, v any) error {
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

func validate(v any) error {
	var problems []string
	require := func(name, value string, ok func(string) bool) {
		switch {
		case value == "":
			problems = append(problems, name+" is missing")
		case !ok(value):
			problems = append(problems, name+" "+value+" is not well formed")
		}
	}
	requireMin := func(name string, ok bool) {
		if !ok {
			problems = append(problems, name+" is too small")
		}
	}
	switch s := v.(type) {
	case *Node:
		require("instance", s.Instance, anyValue)
		require("dc", string(s.DC), anyValue)
		require("http", s.HTTP, isHostPort)
		require("peer", s.Peer, isHostPort)
		require("target", s.Target, isBaseURL)
		require("platform", s.ConfigServiceURL, isBaseURL)
		for _, seed := range s.Seeds {
			require("seed", seed, isHostPort)
		}
	case *Sidecar:
		require("name", s.Name, anyValue)
		require("dc", string(s.DC), anyValue)
		require("service", s.Service, anyValue)
		for _, a := range []struct{ name, addr string }{{"target", s.Target}, {"callers", s.Callers}, {"peer", s.Peer},
			{"ready", s.Ready}, {"metrics", s.Metrics}, {"store", s.Store}} {
			require(a.name, a.addr, isHostPort)
		}
		if s.Control != "" {
			require("control", s.Control, isHostPort)
		}
		for _, seed := range s.Seeds {
			require("seed", seed, isHostPort)
		}
		requireMin("memory_mb", s.MemoryMB > 0)
		requireMin("grace", s.ShutdownGrace > 0 || s.ShutdownGrace == UnknownGrace)
		requireMin("repeat_window", s.RetryWindow > 0)
		requireMin("repeat_ratio", s.RetryRatio >= 0)
		requireMin("repeat_slack", s.MinRetries >= 0)
		requireMin("repeat_shared", s.SharedRetries >= 0)
	case *Target:
		require("service", s.Service, anyValue)
		require("http", s.HTTP, isHostPort)
		require("node", s.Node, isBaseURL)
	case *ConfigService:
		require("http", s.HTTP, isHostPort)
	}
	if len(problems) > 0 {
		return eris.New(strings.Join(problems, "; "))
	}
	return nil
}

func anyValue(string) bool { return true }

func isHostPort(v string) bool {
	_, _, err := net.SplitHostPort(v)
	return err == nil
}

func isBaseURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
