package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/quarantine"
)

// exitProbeTimeout bounds the check whether the local target is still
// listening. On the same VM the answer takes microseconds.
const exitProbeTimeout = 100 * time.Millisecond

// exitDetector records when the local target last exited. All connections of
// a target break when it exits, so one check serves all requests that fail
// with it.
type exitDetector struct {
	mu        sync.Mutex
	lastCheck time.Time
	lastExit  time.Time // when it was last found not listening
	exitID    uint64    // identifies that exit
}

// exitDuring returns the id of the target's exit during a request that ran
// from began to failed, or 0 if the target did not exit. first is true for
// the request that detected the exit. exited probes whether the target has
// stopped listening. Safe for concurrent use.
func (e *exitDetector) exitDuring(began, failed time.Time, exited func() bool) (exitID uint64, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lastExit.After(began) {
		return e.exitID, false
	}
	if e.lastCheck.After(failed) {
		return 0, false // another request has found the target listening since
	}
	e.lastCheck = time.Now()
	if !exited() {
		return 0, false
	}
	e.lastExit, e.exitID = time.Now(), max(rand.Uint64(), 1)
	return e.exitID, true
}

// targetExitDuring returns the exit of the target that broke the connection
// of a request, or nil if only the connection failed.
func (n *Node) targetExitDuring(ctx context.Context, r *call.Request, began time.Time) *call.InstanceExit {
	if ctx.Err() != nil {
		return nil
	}
	id, first := n.exits.exitDuring(began, time.Now(), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), exitProbeTimeout)
		defer cancel()
		return n.target.TargetExited(ctx)
	})
	if id == 0 {
		return nil
	}
	if first {
		n.stats.countTargetExit()
		n.log.WithFields(log.Fields{"instance": r.To, "running": n.gate.Load().InFlight}).Warn("target_ended")
	}
	n.decisions.Log("ended_under_request", func() log.Fields {
		names := make([]string, 0, len(r.HTTP.Header))
		for _, f := range r.HTTP.Header {
			names = append(names, f.Name)
		}
		return log.Fields{"id": r.ID, "fingerprint": quarantine.FingerprintOf(r).String(), "caller": r.HTTP.Caller, "instance": r.To,
			"headers": names, "age_ms": time.Since(began).Milliseconds()}
	})
	return &call.InstanceExit{ID: id}
}
