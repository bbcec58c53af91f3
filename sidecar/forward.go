package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/balance"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/quarantine"
)

const (
	// maxAttempts bounds the number of nodes tried for one request. An attempt
	// that is refused costs a few milliseconds and executes nothing.
	maxAttempts = 4
	// retryAfterNoInstance is the Retry-After for a service without
	// instances.
	retryAfterNoInstance = time.Second
	// peerMargin is how much earlier a request's deadline is at the node of
	// its instance. That node knows whether the request was executed, and its
	// response must arrive before the local deadline.
	peerMargin = 15 * time.Millisecond
	// dialWait is how long a request waits for a connection to a peer.
	// Dialing continues after it, for later requests.
	dialWait = 250 * time.Millisecond
	// minRetryTime is the minimum time to the deadline for a retry.
	minRetryTime = 20 * time.Millisecond
	// maxRateRefusals is how many instances may refuse a request because of
	// their rate limits before it waits for the limit of the next one.
	maxRateRefusals = 8
	// minQueueWait admits a request only if a slot is free immediately.
	minQueueWait = time.Millisecond
)

// attempts tracks the attempts made for one request.
type attempts struct {
	tried       []directory.InstanceID
	unreachable int  // nodes among tried
	reached     int  // instances that received the request, or may have
	mayHaveRun  bool // some instance may have executed the request
	// rateRefusals counts the instances that refused the request because of
	// their rate limits. They are not among tried: the request waits at one of
	// them if all instances are limited.
	rateRefusals int
}

// refusalCause returns why a request was not run, by its last answer.
func (att *attempts) refusalCause(last *call.Answer) cause {
	switch {
	case len(att.tried) == 0 && att.rateRefusals == 0:
		return causeNoInstance
	case att.unreachable > 0 && att.unreachable == len(att.tried):
		return causeUnreachable
	case last.Leaving:
		return causeLeaving
	case last.RateWait > 0:
		return causeTargetRate
	case last.ReachedTarget:
		return causeTarget
	}
	return causeOverload
}

// forward sends a request to instances of its service until one returns a
// final answer. ctx ends at the request's deadline or when its caller
// disconnects.
func (n *Node) forward(ctx context.Context, q *request) call.Answer {
	if q.quarantine.stage == quarantine.Quarantined {
		n.stats.countRefusal(causeQuarantine, q.account)
		q.refused = causeQuarantine
		return n.refuseSuspect(q.Request, q.quarantine)
	}
	if q.HTTP.Retry {
		n.retryBudget(q.Service).CountInheritedRetry()
	} else {
		n.retryBudget(q.Service).CountFirstTry()
	}
	var att attempts
	last := call.Refuse(q.Request, "no instance of "+q.Service, retryAfterNoInstance)
	for len(att.tried) < maxAttempts {
		to, ok := n.balancer.Pick(n.pickCriteria(q, att.tried))
		if !ok {
			break
		}
		q.AwaitRate = to.LastResort || att.rateRefusals >= maxRateRefusals
		previous := last
		last = n.attempt(ctx, q, to, &att)
		previous.Held.Release()
		if !n.allowRetry(ctx, q, last, &att) {
			break
		}
	}
	if att.mayHaveRun && last.Status == call.NotRun {
		// The last attempt was refused, but an earlier one may have been
		// executed.
		last.Held.Release()
		last = call.Answer{ID: q.ID, Status: call.Unknown, Reason: "an earlier try may have run; the last was refused: " + last.Reason}
	}
	if att.unreachable == len(att.tried) && att.rateRefusals == 0 && n.stage(q.quarantine) == quarantine.Free {
		// No instance is reachable from here. Requests that depend on this
		// route are then refused at the entry node, before they start.
		n.thresholds.RecordUnreachable(q.route.Name, q.Service)
	}
	if last.Status == call.NotRun {
		q.refused = att.refusalCause(&last)
	}
	if last.Status == call.NotRun && last.RetryAfter == 0 {
		last.RetryAfter = n.retryAfter(n.requestTimes(q.route, time.Until(q.deadline)))
	}
	return last
}

// pickCriteria returns the load balancing criteria for a request. While a
// target on its path is overloaded, a non-idempotent request is balanced like
// an idempotent one, without regard to its deadline. Child requests are sent
// from where their parents run and would otherwise be concentrated near the
// fastest instance.
func (n *Node) pickCriteria(q *request, tried []directory.InstanceID) balance.PickRequest {
	v := n.dir.View()
	pick := balance.PickRequest{Route: q.route.Name, Instances: v.Instances(q.Service), SameDC: v.InstancesInDC(q.Service, n.cfg.DC), Tried: tried}
	if n.thresholds.Threshold(q.route.Name) == admit.MaxLevel {
		pick.NonIdempotent, pick.TimeLimit = !q.route.Idempotent, time.Until(q.deadline)
	}
	if n.stage(q.quarantine) == quarantine.Isolated {
		pick.Instances, pick.SameDC = q.quarantine.pinnedInstance(pick.Instances, tried), nil
	}
	return pick
}

// attempt sends the request to one instance and records the result.
func (n *Node) attempt(ctx context.Context, q *request, in balance.Choice, att *attempts) call.Answer {
	sent := time.Now()
	n.recordOlderRoutes(q)
	a, reachable := n.send(ctx, q, in, att)
	o := balance.Outcome{Route: q.route.Name, Unreachable: !reachable, Leaving: a.Leaving, Load: a.Load, RateLimit: a.State.RateLimit, UpAt: a.State.UpAt, RateWait: a.RateWait}
	if a.RateWait > 0 {
		att.rateRefusals++
	} else {
		att.tried = append(att.tried, in.ID)
	}
	if a.State.Leaving {
		n.dir.MarkLeaving(sightingOf(in.Incarnation(), a.State))
	}
	switch {
	case !reachable:
		att.unreachable++
	case a.Status == call.NotRun:
		o.NotRun, o.Refused = true, a.ReachedTarget
		if a.ReachedTarget {
			att.reached++
		}
	default:
		att.reached++
		att.mayHaveRun = true
		o.Failed = a.Status == call.Unknown || (a.HTTP != nil && a.HTTP.Code >= 500)
		if a.Status == call.OK && !q.AwaitRate { // a wait for the rate limit says nothing of the instance's speed
			o.Latency = time.Since(sent)
		}
	}
	if a.Status == call.Unknown && !n.countsAgainstInstance(ctx, q, time.Since(sent)) {
		o.Failed = false
	}
	n.balancer.Done(in.Incarnation(), o)
	n.recordAttempt(q.quarantine, &a)
	n.stats.observeAttempt(q.Service, a.Status, time.Since(sent))
	if a.Load != nil {
		n.thresholds.RecordThreshold(q.route.Name, a.Load.Threshold, a.Load.Bottleneck)
	}
	if a.Status != call.OK {
		n.decisions.Log("try_ended", func() log.Fields {
			f := log.Fields{"id": q.ID, "fingerprint": q.quarantine.fingerprint.String(), "route": q.route.Name, "service": q.Service, "instance": in.ID, "dc": in.DC, "revision": in.Revision,
				"status": a.Status, "why": a.Reason, "reached": a.ReachedTarget, "took_ms": time.Since(sent).Milliseconds(), "try": len(att.tried), "route_version": q.version}
			if a.HTTP != nil {
				f["code"] = a.HTTP.Code
			}
			return f
		})
	}
	return a
}

// recordOlderRoutes counts and logs that a request is about to be sent by an older
// version of the routes than is in force, because it waited meanwhile.
func (n *Node) recordOlderRoutes(q *request) {
	inForce := n.routesVersion()
	if inForce <= uint64(q.version) {
		return
	}
	n.stats.countOlderRoutes()
	n.decisions.Log("sent_by_older_routes", func() log.Fields {
		return log.Fields{"id": q.ID, "route": q.route.Name, "service": q.Service, "route_version": q.version, "routes": inForce,
			"waited_ms": time.Since(q.received).Milliseconds()}
	})
}

// sightingOf returns which run of an instance stated its state, in an answer to a
// request that was sent to a listed run. Former versions do not say.
func sightingOf(sentTo directory.Incarnation, s call.InstanceState) directory.Sighting {
	if s.UpAt == 0 {
		return directory.Sighting(sentTo)
	}
	return directory.Sighting{ID: sentTo.ID, At: s.UpAt}
}

// countsAgainstInstance reports whether an attempt without a response counts
// as a failure of its instance. It does not if the caller disconnected or if
// the deadline was shorter than requests of the route usually take. Lost
// responses show only as requests that wait until their deadline.
func (n *Node) countsAgainstInstance(ctx context.Context, q *request, elapsed time.Duration) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	timedOut := ctx.Err() != nil || time.Until(q.deadline) <= 2*peerMargin
	return !timedOut || elapsed >= slowFactor*n.totalTimes.Mean(q.route.Name, 0)
}

// send sends the request to the node of an instance. If reachable is false,
// the request was not executed.
func (n *Node) send(ctx context.Context, q *request, in balance.Choice, att *attempts) (a call.Answer, reachable bool) {
	r := q.Request
	r.To, r.KnownRateLimit, r.KnownUpAt = string(in.ID), in.RateLimit, in.RateLimitUpAt
	if !q.queueDeadline.IsZero() {
		q.HTTP.MaxQueueWait = max(time.Until(q.queueDeadline), minQueueWait)
	}
	r.EndOnSuspicion = q.route.Idempotent && len(att.tried)+1 < q.route.MaxInstances && n.retryBudget(q.Service).CanRetry()
	r.Remaining = time.Until(q.deadline) - peerMargin
	if in.Addr == n.cfg.TargetAddr {
		return n.serveLocal(ctx, r), true
	}
	peer, err := n.peerFor(in.Instance)
	if err != nil {
		return call.Refuse(r, err.Error(), 0), false
	}
	// The connection may close between Get and Call, before anything is
	// written; the second Get dials a new one.
	for range 2 {
		conn, err := n.peers.GetTimeout(ctx, peer, dialWait)
		if err != nil {
			return call.Refuse(r, "node unreachable: "+err.Error(), 0), false
		}
		r.Sent = time.Now()
		a, err := conn.Call(ctx, r, n.revision())
		if err == nil {
			return a, true
		}
	}
	return call.Refuse(r, "node unreachable: connections close", 0), false
}

// allowRetry reports whether the request is to be sent to another instance
// after answer a. If an instance has already received it, the retry is
// charged to the service's retry budget.
func (n *Node) allowRetry(ctx context.Context, q *request, a call.Answer, att *attempts) bool {
	if ctx.Err() != nil || time.Until(q.deadline) < minRetryTime || a.NoRetry || n.stage(q.quarantine) == quarantine.Quarantined {
		return false
	}
	switch a.Status {
	case call.OK:
		return false
	case call.NotRun:
		if !a.ReachedTarget {
			return true
		}
	default:
		if !q.route.Idempotent || (a.HTTP != nil && a.HTTP.Code < 500) {
			return false
		}
	}
	if att.reached >= q.route.MaxInstances || !n.retryBudget(q.Service).TryRetry() {
		return false
	}
	n.stats.countRetry(q.Service)
	q.HTTP.Retry = true
	return true
}
