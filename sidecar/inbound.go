package sidecar

import (
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/inbound"
)

const (
	// operatorConns is how many connections the ports for readiness and metrics each
	// take. The platform opens one a second.
	operatorConns = 32
	// operatorUnusedTime is how long one of them may be unused beside others that wait.
	operatorUnusedTime = 50 * time.Millisecond
)

// newOperatorServer returns a server for readiness or metrics. Its heads share the
// memory of the callers', and its limits do not depend on the routes, which a node
// without a source lacks.
func (n *Node) newOperatorServer(h http.Handler) *inbound.Server {
	return inbound.NewServer(inbound.Config{Handler: h, MaxConns: operatorConns, UnusedTime: operatorUnusedTime, Limits: operatorLimits,
		Heads: &n.heads, OnRefused: n.recordRefusedHead, ErrorLog: newServerLog(n.log)})
}

func operatorLimits() inbound.Limits {
	return inbound.Limits{HeadBytes: 16 << 10, HeadTimeout: 5 * time.Second}
}

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
