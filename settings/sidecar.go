package settings

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// Defaults of the [sidecar] section.
const (
	defaultMemoryMB = 128
	// defaultGrace must not exceed the time deployments leave between SIGTERM
	// and SIGKILL.
	defaultGrace        = 6 * time.Second
	defaultRepeatWindow = 10 * time.Second
	// defaultRepeatRatio is a quarter of the allowed 0.2 of all requests,
	// because repeats at up to four call levels add up.
	defaultRepeatRatio = 0.05
	defaultRepeatSlack = 2
)

// NewSidecar returns a Sidecar with default values.
func NewSidecar() Sidecar {
	return Sidecar{MemoryMB: defaultMemoryMB, Grace: defaultGrace, RepeatWindow: defaultRepeatWindow, RepeatRatio: defaultRepeatRatio, RepeatSlack: defaultRepeatSlack}
}

// Sidecar is the [sidecar] section: the node of one target VM whose callers
// and target use plain HTTP.
type Sidecar struct {
	Name     string       `ini:"name"` // node name in log lines
	DC       callgraph.DC `ini:"dc"`
	Service  string       `ini:"service"`   // service of the local target
	Target   string       `ini:"target"`    // host:port of the local target
	Callers  string       `ini:"callers"`   // host:port that callers and the local target send requests to
	Peer     string       `ini:"peer"`      // host:port for other nodes; same port on every VM
	Control  string       `ini:"control"`   // host:port that starting nodes fetch their state from; may be empty
	Seeds    []string     `ini:"seeds"`     // control addresses of other nodes; may be empty
	Ready    string       `ini:"ready"`     // host:port of the readiness endpoint
	Metrics  string       `ini:"metrics"`   // host:port of the metrics endpoint
	Store    string       `ini:"store"`     // host:port of the metadata store
	MemoryMB int          `ini:"memory_mb"` // memory limit of the process
	// Grace bounds the shutdown of the process after SIGTERM.
	Grace time.Duration `ini:"grace"`
	// RepeatRatio and RepeatSlack bound, for all nodes together, the requests
	// resent to another instance within a sliding RepeatWindow: a share of
	// all requests plus a constant.
	RepeatRatio  float64       `ini:"repeat_ratio"`
	RepeatSlack  float64       `ini:"repeat_slack"`
	RepeatWindow time.Duration `ini:"repeat_window"`
}
