package settings

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// Defaults of the [sidecar] section.
const (
	// sidecarMemoryMB is what a node may use for control at the planned size.
	sidecarMemoryMB = 128
	// sidecarGrace is the shortest time between SIGTERM and SIGKILL that
	// the deployments give.
	sidecarGrace = 6 * time.Second
	// repeatWindow is the sliding time in which operators count repeats.
	repeatWindow = 10 * time.Second
	// repeatRatio is a quarter of what operators allow (0.2 of all requests
	// for a service, calls included): calls go four deep, the calls of a
	// repeated request are repeats at each service below, and the node that
	// sends them may be another one than those that repeat.
	repeatRatio = 0.05
	// repeatSlack is each node's part of the fifty that operators allow to
	// all nodes of the smallest deployment.
	repeatSlack = 2
)

// NewSidecar returns the section's defaults.
func NewSidecar() Sidecar {
	return Sidecar{MemoryMB: sidecarMemoryMB, Grace: sidecarGrace, RepeatWindow: repeatWindow, RepeatRatio: repeatRatio, RepeatSlack: repeatSlack}
}

// Sidecar is the [sidecar] section: one node beside one target VM whose
// callers and target speak plain HTTP.
type Sidecar struct {
	Name     string       `ini:"name"` // of this node, in its log lines
	DC       callgraph.DC `ini:"dc"`
	Service  string       `ini:"service"`   // of the local target
	Target   string       `ini:"target"`    // host:port of the local target
	Callers  string       `ini:"callers"`   // host:port for callers and the local target's calls
	Peer     string       `ini:"peer"`      // host:port for other nodes; the same port on every VM
	Control  string       `ini:"control"`   // host:port at which starting nodes ask; may be empty
	Seeds    []string     `ini:"seeds"`     // control addresses of other nodes; may be empty
	Ready    string       `ini:"ready"`     // host:port for readiness questions
	Metrics  string       `ini:"metrics"`   // host:port for metrics
	Store    string       `ini:"store"`     // host:port of the metadata store
	MemoryMB int          `ini:"memory_mb"` // what the process may use
	// Grace is how long the process may go on after it is told to stop.
	Grace time.Duration `ini:"grace"`
	// RepeatRatio and RepeatSlack bound the requests sent to a second
	// instance over RepeatWindow, for all nodes together.
	RepeatRatio  float64       `ini:"repeat_ratio"`
	RepeatSlack  float64       `ini:"repeat_slack"`
	RepeatWindow time.Duration `ini:"repeat_window"`
}
