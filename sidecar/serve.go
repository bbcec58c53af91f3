package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/memory"
	"github.com/oatpin/oatpin/slots"
	"github.com/oatpin/oatpin/targetconn"
)

const (
	// initialTargetTime is the assumed execution time of a route without
	// measurements.
	initialTargetTime = 50 * time.Millisecond
	// slowFactor is the multiple of the route's mean execution time that a request
	// must have run before its timeout counts as a failure of the instance. One
	// request in a hundred takes this long by chance.
	slowFactor = 2
	// probeSlotDivisor limits requests to a slow target: it receives them only
	// while at most 1/probeSlotDivisor of its slots are busy, so that its recovery
	// is noticed. Three of 50 slots show it within a second.
	probeSlotDivisor = 16
	// minRateWait is the least wait reported with a refusal because of the
	// target's rate limit.
	minRateWait = time.Millisecond
)

// servePeer handles a request from another node.
func (n *Node) servePeer(ctx context.Context, r call.Request) call.Answer {
	if r.HTTP == nil {
		return n.serveOperation(ctx, r)
	}
	delay := choose(n.cfg.Policies.ServePeers, peerDrainDelay, 0)
	if since, draining := n.drainingSince(); draining && !n.drain.acceptsPeer(since, delay, r.Remaining, r.HTTP.Idempotent) {
		a := call.Refuse(r, "node is leaving", 0)
		a.Leaving = true
		return a
	}
	if r.BodySkipped {
		return call.Refuse(r, memory.ErrNoMemory.Error(), 0)
	}
	n.deadlines.record(time.Now().Add(r.Remaining))
	return n.serveLocal(ctx, r)
}

// serveOperation handles a node operation. Requests forwarded by route are
// never handled here, even if a route has the name of an operation.
func (n *Node) serveOperation(ctx context.Context, r call.Request) call.Answer {
	switch r.Operation {
	case sinceOperation:
		return n.serveSince(ctx, r)
	case vouchOperation:
		return n.serveVouch(ctx, r)
	case exitReportOperation:
		return n.serveExitReport(r)
	case usageOperation:
		return n.serveUsage(r)
	}
	return call.Refuse(r, "not a request by route", 0)
}

// serveLocal serves a request by the local target within the time it has
// left. ctx ends when the caller disconnects.
func (n *Node) serveLocal(ctx context.Context, r call.Request) call.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	return n.serveTarget(ctx, r)
}

// serveTarget serves a request by the local target unless it was sent to
// another instance or quarantine prevents it.
func (n *Node) serveTarget(ctx context.Context, r call.Request) call.Answer {
	if self := n.self.Load(); self != nil && string(self.ID) != r.To {
		// The sender's directory is outdated: the address has been reused.
		a := call.Refuse(r, "another instance is here", 0)
		a.Leaving = true
		return a
	}
	n.adoptKnown(r)
	qs := n.quarantineStateOf(&r)
	leave, ok := n.enterIsolation(ctx, &r, qs)
	if !ok {
		return n.withLoad(r, n.refuseSuspect(r, qs))
	}
	defer leave()
	return n.serveQueued(ctx, r, qs)
}

// serveQueued queues a request for a slot of the local target and executes
// it.
func (n *Node) serveQueued(ctx context.Context, r call.Request, qs quarantineState) call.Answer {
	deadline, _ := ctx.Deadline()
	if !n.canMeetDeadline(r, deadline) {
		return n.withLoad(r, call.Refuse(r, "target: too slow for the time left", 0))
	}
	n.thresholds.ObserveLevel(r.HTTP.Level)
	n.recordArrival(r)
	waited, err := n.gate.Acquire(ctx, slots.Ticket{Level: r.HTTP.Level, Deadline: deadline, MaxQueueWait: r.HTTP.MaxQueueWait, AwaitRate: r.AwaitRate})
	n.stats.observeQueueWait(r.HTTP.Child, err == nil, waited)
	if err != nil {
		return n.withLoad(r, n.notAdmitted(r, err, waited))
	}
	if !n.stillAllowed(qs) {
		n.gate.Release(0)
		return n.withLoad(r, n.refuseSuspect(r, qs))
	}
	if !r.HTTP.Idempotent {
		// A non-idempotent request that has started continues when the caller
		// disconnects or the sender's connection fails. Otherwise its outcome
		// would be unknown.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
	}
	progress := n.slowdown.Begin(r.Operation)
	n.running.add(r.ID, runningRequest{route: r.Operation, deadline: deadline, level: r.HTTP.Level, retry: r.HTTP.Retry, progress: progress})
	began := time.Now()
	a, by := n.callTarget(ctx, r, deadline)
	took := time.Since(began)
	n.recordRun(qs, &a)
	finished := n.running.remove(r.ID)
	progress.End(a.Status == call.OK)
	if !n.isOfFormerRun(by) {
		n.health.Record(n.targetFailed(ctx, r, a, finished, took))
	}
	overloadSlotTime := finished.overloadSlotTime
	if n.meter.Threshold() < admit.MaxLevel {
		overloadSlotTime += took
	}
	if a.Status != call.OK {
		took = 0
	} else {
		n.targetTimes.Record(r.Operation, took)
	}
	n.gate.Release(took)
	a = n.withLoad(r, a)
	a.Load.OverloadSlotTime = overloadSlotTime
	return a
}

// recordArrival records the demand of a request for the local target. While the
// target's rate limit is what bounds it, entry nodes are not told to refuse any:
// a request goes to another instance or waits here by rank, whereas a threshold
// derived from the few requests that a low limit admits would refuse too much,
// and too long after the limit has ended.
func (n *Node) recordArrival(r call.Request) {
	if n.gate.RateBound() {
		n.meter.Reset()
		return
	}
	n.meter.RecordArrival(r.HTTP.Level, n.targetTimes.Mean(r.Operation, initialTargetTime), n.gate.QueuedWork())
}

// notAdmitted returns the answer to a request that the gate of the local target
// refused.
func (n *Node) notAdmitted(r call.Request, err error, waited time.Duration) call.Answer {
	a := call.Refuse(r, "target: "+err.Error()+" after "+waited.String(), 0)
	a.Leaving = errors.Is(err, slots.ErrLeaving)
	if errors.Is(err, slots.ErrRateLimited) {
		a.RateWait = max(n.gate.RateWait(), minRateWait)
	}
	return a
}

// canMeetDeadline reports whether the local target can finish a request
// before its deadline at its current slowdown. If it cannot, another instance
// can still execute the request. While few slots are busy it always returns
// true, so that the slowdown continues to be measured.
func (n *Node) canMeetDeadline(r call.Request, deadline time.Time) bool {
	if !n.cfg.Policies.SlowdownCheck || n.slowdown.ExpectedTime(r.Operation) <= time.Until(deadline) {
		return true
	}
	l := n.gate.Load()
	return l.InFlight <= l.Limit/probeSlotDivisor
}

// targetFailed reports whether a failure is the local target's own. It is not
// if the caller disconnected, a child request was refused or failed, or the
// deadline was shorter than the route's usual execution time.
func (n *Node) targetFailed(ctx context.Context, r call.Request, a call.Answer, finished runningRequest, took time.Duration) bool {
	if a.Status == call.OK || finished.childFailed || errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	code := 0
	if a.HTTP != nil {
		code = a.HTTP.Code
	}
	switch {
	case a.Status == call.Failed && code < http.StatusInternalServerError:
		return false
	case ctx.Err() != nil || code == http.StatusGatewayTimeout:
		return took >= slowFactor*n.targetTimes.Mean(r.Operation, 0)
	}
	return true
}

// withLoad adds the load of the local target and the lowest admission
// threshold on the path of the request's route.
func (n *Node) withLoad(r call.Request, a call.Answer) call.Answer {
	l := n.gate.Load()
	l.FailureRate, l.Slowdown = n.health.FailureRate(), n.slowdown.Slowdown()
	l.Threshold, l.Bottleneck = n.thresholds.CalleeThreshold(r.Operation)
	if local := n.meter.Threshold(); local < l.Threshold {
		l.Threshold, l.Bottleneck = local, n.cfg.Service
	}
	a.Load = &l
	n.targetRate.addTo(&a.State)
	return a
}

// callTarget sends a request to the local target, and returns which run of it
// answered or would have.
func (n *Node) callTarget(ctx context.Context, r call.Request, deadline time.Time) (call.Answer, directory.Sighting) {
	began := time.Now()
	by := directory.Sighting{ID: directory.InstanceID(r.To), At: directory.UnixMilli(began.UnixMilli())}
	remaining := deadline.Sub(began).Milliseconds()
	if remaining <= 0 {
		return call.Refuse(r, "deadline passed", 0), by
	}
	headers := n.cfg.Headers
	h := make(http.Header, len(r.HTTP.Header)+3)
	for _, f := range r.HTTP.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h.Set(headers.Deadline, strconv.FormatInt(remaining, 10))
	h.Set(headers.ExpectedInstance, r.To)
	h.Set(headers.CallerService, r.HTTP.Caller)
	n.stats.countSent()
	opened := func(at time.Time) { by.At = directory.UnixMilli(at.UnixMilli()) }
	resp, err := n.target.Do(ctx, &targetconn.Request{ID: r.ID, Method: r.HTTP.Method, Host: r.HTTP.Host, URI: r.HTTP.URI, Header: h, Body: r.Body, GotConn: opened})
	switch {
	case errors.Is(err, targetconn.ErrNotSent):
		if errors.Is(err, targetconn.ErrConnRefused) {
			n.vouchChecker.RecordExit(by.At)
		}
		return call.Refuse(r, err.Error(), 0), by
	case err != nil:
		n.recordOverBound(r, err)
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: call.Shorten(err.Error()), ReachedTarget: true, InstanceExit: n.targetExitDuring(ctx, &r, began)}, by
	}
	a := n.classifyAnswer(r, resp)
	if a.Held == nil {
		resp.Held.Release()
	}
	if a.Status != call.Unknown && !a.Leaving && n.recordStatement(r, by, resp.Header, began).leaving {
		a.State.Leaving, a.State.UpAt = true, by.At
	}
	return a, by
}

// recordOverBound counts and logs an answer of the local target that was over a bound.
func (n *Node) recordOverBound(r call.Request, err error) {
	var over *targetconn.BoundError
	if !errors.As(err, &over) {
		return
	}
	n.stats.countOverBound(over.Bound)
	n.decisions.Log("answer_over_bound", func() log.Fields {
		return log.Fields{"id": r.ID, "route": r.Operation, "instance": r.To, "bound": over.Bound, "limit": over.Limit}
	})
}

// recordTrailing counts and logs that the local target sent bytes after an answer.
func (n *Node) recordTrailing() {
	n.stats.countOverBound(targetconn.BoundTrailing)
	n.decisions.Log("answer_over_bound", func() log.Fields {
		f := log.Fields{"bound": targetconn.BoundTrailing}
		if in := n.self.Load(); in != nil {
			f["instance"] = in.ID
		}
		return f
	})
}

// classifyAnswer maps a target's response to a call status.
func (n *Node) classifyAnswer(r call.Request, resp *targetconn.Answer) call.Answer {
	headers := n.cfg.Headers
	a := call.Answer{ID: r.ID, ReachedTarget: true}
	switch {
	case resp.Header.Get(headers.NotExecuted) != "" || resp.Code == http.StatusMisdirectedRequest:
		a.Status = call.NotRun
		a.Reason = "target refused: " + strconv.Itoa(resp.Code)
		a.Leaving = resp.Code == http.StatusMisdirectedRequest
		return a
	case resp.Header.Get(headers.Signature) == "" || resp.Header.Get("Content-Encoding") != "":
		// The response is not from the target itself, or its body was encoded
		// on the way. The request may have been executed.
		a.Status = call.Unknown
		a.Reason = "answer " + strconv.Itoa(resp.Code) + " is not the target's own"
		return a
	case resp.Code >= 200 && resp.Code < 300:
		a.Status = call.OK
	default:
		a.Status = call.Failed
		a.Reason = "target answered " + strconv.Itoa(resp.Code)
	}
	a.HTTP = &call.HTTPAnswer{Code: resp.Code, Header: endToEnd(resp.Header, responseDropHeaders)}
	a.Body, a.Held = resp.Body, resp.Held
	return a
}
