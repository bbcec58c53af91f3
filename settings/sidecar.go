package settings

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// Sidecar is the [sidecar] section: one node beside one target VM whose
// callers and target speak plain HTTP.
type Sidecar struct {
	Name     string       `ini:"name"` // of this node, in its log lines
	DC       callgraph.DC `ini:"dc"`
	Service  string       `ini:"service"`   // of the local target
	Target   string       `ini:"target"`    // host:port of the local target
	Callers  string       `ini:"callers"`   // host:port for callers and the local target's calls
	Peer     string       `ini:"peer"`      // host:port for other nodes; the same port on every VM
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
