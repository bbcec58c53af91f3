package sidecar

import (
	"time"
)

const (
	// minDrainTime is the minimum time that a draining node stays up, even if
	// idle. The platform polls readiness every second and removes the node
	// after two failed checks.
	minDrainTime = 2300 * time.Millisecond
	// peerDrainDelay is how long a draining node continues to serve requests from
	// peers. Refusing them immediately would leave its instance idle during every
	// restart. With three instances, that would be a third of the capacity for
	// three seconds. What is accepted until then ends within minDrainTime.
	peerDrainDelay = 1200 * time.Millisecond
	// refuseNewNum / refuseNewDen is the fraction of the grace period after which
	// a draining node refuses new requests from callers, because they could still
	// be running when the process is killed. Of 6 s it is 2.8 s, after the 2 s in
	// which the platform removes the node; a fixed time would be too late in a
	// short grace period.
	refuseNewNum = 7
	refuseNewDen = 15
	// drainTimeoutNum / drainTimeoutDen is the fraction of the grace period
	// after which a draining node closes its remaining connections.
	drainTimeoutNum = 9
	drainTimeoutDen = 10
	// closeTimeout bounds the closing of connections at shutdown.
	closeTimeout = 200 * time.Millisecond
	// drainPollInterval is how often a draining node checks whether it is
	// idle.
	drainPollInterval = 20 * time.Millisecond
)

// drainingSince returns the time since shutdown began, or false if it has
// not.
func (n *Node) drainingSince() (time.Duration, bool) {
	at := n.drainStart.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}
