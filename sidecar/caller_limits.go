package sidecar

import (
	"syscall"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/inbound"
)

// callerLimits returns the limits of callers in the routes in force.
func (n *Node) callerLimits() inbound.Limits {
	r := n.dir.View().Routes
	if r == nil {
		return inbound.DefaultLimits
	}
	return inbound.Limits{HeadBytes: r.Limits.HeaderBytes, HeadTimeout: r.Limits.HeaderTimeout, IdleTimeout: r.Limits.IdleTimeout}
}

// recordRefusedHead counts and logs a head of a caller that was refused.
func (n *Node) recordRefusedHead(why inbound.Cause) {
	n.stats.countRefusedHead(why)
	n.decisions.Log("head_refused", func() log.Fields {
		return log.Fields{"cause": why, "heads_bytes": n.heads.Used()}
	})
}

// maxDescriptors returns the descriptor limit of the process.
func maxDescriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return assumedDescriptors
	}
	return int(min(l.Cur, 1<<30)) // no limit is the largest number
}
