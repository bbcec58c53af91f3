package settings

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

// UnknownGrace is the ShutdownGrace of a node that is not told how long after
// SIGTERM it is killed.
const UnknownGrace time.Duration = -1

// Defaults of the [sidecar] section.
const (
	defaultMemoryMB      = 128
	defaultShutdownGrace = UnknownGrace
	defaultRetryWindow   = 10 * time.Second
	// defaultRetryRatio keeps retries within 0.2 of all requests when they add up
	// over four call levels. Child requests of a retry are retries at each service
	// below, and other nodes may send them.
	defaultRetryRatio = 0.05
	defaultMinRetries = 2
)

// DefaultSidecar returns a Sidecar with default values.
func DefaultSidecar() Sidecar {
	return Sidecar{MemoryMB: defaultMemoryMB, ShutdownGrace: defaultShutdownGrace, RetryWindow: defaultRetryWindow, RetryRatio: defaultRetryRatio, MinRetries: defaultMinRetries}
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
	// ShutdownGrace is the time from SIGTERM to SIGKILL, or UnknownGrace.
	ShutdownGrace time.Duration `ini:"grace"`
	// RetryRatio and MinRetries bound the requests that this node resends to
	// another instance within a sliding RetryWindow: a share of all requests plus
	// a constant. SharedRetries bounds the constants of all nodes together; 0 for
	// no bound.
	RetryRatio    float64       `ini:"repeat_ratio"`
	MinRetries    float64       `ini:"repeat_slack"`
	SharedRetries float64       `ini:"repeat_shared"`
	RetryWindow   time.Duration `ini:"repeat_window"`
}
