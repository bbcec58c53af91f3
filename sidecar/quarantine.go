package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/quarantine"
)

const (
	// isolationWait is how long a child request waits for conflicting
	// isolated or suspect requests to finish. New requests set their own
	// limit.
	isolationWait = time.Second
	// suspectRetryAfter is the Retry-After of a request refused because of a
	// conflicting isolated request. Two or three isolated requests take this long.
	suspectRetryAfter = 500 * time.Millisecond
)

// quarantineState identifies a request for quarantine and holds the stage
// that applies to it.
type quarantineState struct {
	fingerprint quarantine.Fingerprint
	caller      quarantine.Caller
	stage       quarantine.Stage // when the request arrived or was admitted
}

func (n *Node) quarantineStateOf(r *call.Request) quarantineState {
	qs := quarantineState{fingerprint: quarantine.FingerprintOf(r), caller: quarantine.Caller(r.HTTP.Caller)}
	qs.stage = n.stage(qs)
	return qs
}

// stage returns the current quarantine stage of a request.
func (n *Node) stage(qs quarantineState) quarantine.Stage {
	return n.quarantine.Stage(qs.fingerprint, qs.caller)
}

// pinnedInstance returns the instance to which an isolated request is pinned,
// excluding tried ones. It is chosen by fingerprint and address and thus stays
// at the same node when the instance restarts. That node detects a crash first
// and holds further such requests from nodes that are not informed yet.
func (qs quarantineState) pinnedInstance(all []directory.Instance, tried []directory.InstanceID) []directory.Instance {
	var candidates, confirmed []directory.Instance
	for _, in := range all {
		if in.Leaving || slices.Contains(tried, in.ID) {
			continue
		}
		candidates = append(candidates, in)
		if !in.Unconfirmed {
			confirmed = append(confirmed, in)
		}
	}
	if len(confirmed) > 0 {
		candidates = confirmed
	}
	return quarantine.IsolationInstance(qs.fingerprint, candidates, func(in directory.Instance) string { return in.Addr })
}

// enterIsolation waits until the request may run concurrently with those at
// the local target. An isolated request never runs together with another
// suspect, since a crash could then not be attributed to either.
func (n *Node) enterIsolation(ctx context.Context, r *call.Request, qs quarantineState) (leave func(), ok bool) {
	if qs.stage == quarantine.Quarantined {
		return nil, false
	}
	wait := r.HTTP.MaxQueueWait
	if wait <= 0 {
		wait = isolationWait
	}
	return n.isolation.Acquire(ctx, qs.stage, wait)
}

// stillAllowed reports whether a request may run after queueing. Its stage
// may have been raised by a crash in the meantime.
func (n *Node) stillAllowed(qs quarantineState) bool {
	current := n.stage(qs)
	return current <= qs.stage || current <= quarantine.Suspect
}

// refuseSuspect refuses a suspect request without executing it. NoRetry is set
// if the request must not be sent to another instance.
func (n *Node) refuseSuspect(r call.Request, qs quarantineState) call.Answer {
	a := call.Refuse(r, "instances ended under this request, and another such is running", suspectRetryAfter)
	current := n.stage(qs)
	a.NoRetry = current >= quarantine.Isolated
	if current == quarantine.Quarantined {
		a.Reason = "quarantined: instances ended under this request"
		a.RetryAfter = max(a.RetryAfter, n.quarantine.Remaining(qs.fingerprint, qs.caller))
	}
	return a
}

// recordRun records the result of a request at the local target and reports
// changes to other nodes.
func (n *Node) recordRun(qs quarantineState, a *call.Answer) {
	if a.InstanceExit != nil {
		a.InstanceExit.Isolated = qs.stage == quarantine.Isolated
	}
	if n.recordAttempt(qs, a) {
		n.queueReport(qs.fingerprint)
	}
}

// recordAttempt records the result of an attempt at any target and reports
// whether the quarantine records changed.
func (n *Node) recordAttempt(qs quarantineState, a *call.Answer) bool {
	switch {
	case a.InstanceExit != nil:
		return n.quarantine.RecordExit(qs.fingerprint, quarantine.Exit{ID: quarantine.ExitID(a.InstanceExit.ID), Caller: qs.caller, Isolated: a.InstanceExit.Isolated})
	case a.HTTP != nil:
		return n.quarantine.RecordAnswer(qs.fingerprint, qs.caller)
	}
	return false
}
