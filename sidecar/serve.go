package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/slots"
	"github.com/oatpin/oatpin/targetconn"
)

const (
	// firstWork is taken as the time a route's requests take at the target
	// until one is measured.
	firstWork = 50 * time.Millisecond
	// slowTimes is how many times its usual time a request must have had for
	// its missing answer to speak against the instance; by chance alone one
	// in a hundred takes that long.
	slowTimes = 2
	// paceProbes is the part of its slots that a target which is too slow for
	// what comes is given all the same: three of fifty show within a second
	// that it is as before, and fail if it is not.
	paceProbes = 16
)

// servePeer serves a request that came from another node.
func (n *Node) servePeer(ctx context.Context, r call.Request) call.Answer {
	if r.HTTP == nil {
		return n.serveNode(ctx, r)
	}
	if since, leaving := n.leavingSince(); leaving && since > choose(n.cfg.Policies.ServePeers, peersAfter, 0) {
		a := call.Refuse(r, "node is leaving", 0)
		a.Leaving = true
		return a
	}
	return n.serveLocal(ctx, r)
}

// serveNode answers another node's own question. Requests by route never come
// here, whatever their route is called.
func (n *Node) serveNode(ctx context.Context, r call.Request) call.Answer {
	switch r.Operation {
	case sinceOperation:
		return n.serveSince(ctx, r)
	case vouchOperation:
		return n.serveVouch(ctx, r)
	case endsOperation:
		return n.serveEnds(r)
	case usageOperation:
		return n.serveUsage(r)
	}
	return call.Refuse(r, "not a request by route", 0)
}

// serveLocal serves a request by the local target within the time it has.
// ctx ends when the caller has left.
func (n *Node) serveLocal(ctx context.Context, r call.Request) call.Answer {
	ctx, cancel := context.WithTimeout(ctx, r.Remaining)
	defer cancel()
	return n.serve(ctx, r)
}

// serve lets a request through to the local target, if it may run here.
func (n *Node) serve(ctx context.Context, r call.Request) call.Answer {
	if self := n.self.Load(); self != nil && string(self.ID) != r.To {
		// The sender's list is older than the reuse of this address.
		a := call.Refuse(r, "another instance is here", 0)
		a.Leaving = true
		return a
	}
	k := n.keptAs(&r)
	leave, ok := n.enterLane(ctx, &r, k)
	if !ok {
		return n.withLoad(r, n.hold(r, k))
	}
	defer leave()
	return n.serveInTurn(ctx, r, k)
}

// serveInTurn lets a request through to the local target when its turn comes.
func (n *Node) serveInTurn(ctx context.Context, r call.Request, k kept) call.Answer {
	deadline, _ := ctx.Deadline()
	if !n.inTime(r, deadline) {
		return n.withLoad(r, call.Refuse(r, "target: too slow for the time left", 0))
	}
	n.board.See(r.HTTP.Level)
	n.meter.Arrive(r.HTTP.Level, n.work.Mean(r.Operation, firstWork), n.gate.Waiting())
	waited, err := n.gate.Enter(ctx, slots.Ticket{Level: r.HTTP.Level, Deadline: deadline, Patience: r.HTTP.Patience})
	n.stats.waited(r.HTTP.Begun, err == nil, waited)
	if err != nil {
		a := call.Refuse(r, "target: "+err.Error()+" after "+waited.String(), 0)
		a.Leaving = errors.Is(err, slots.ErrLeaving)
		return n.withLoad(r, a)
	}
	if !n.mayRun(k) {
		n.gate.Leave(0)
		return n.withLoad(r, n.hold(r, k))
	}
	if !r.HTTP.Idempotent {
		// Its caller may leave or the sender's connection break: once begun,
		// an action goes on to its end, or nobody could say whether it ran.
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
	}
	work := n.pace.Begin(r.Operation)
	n.running.add(r.ID, run{route: r.Operation, level: r.HTTP.Level, repeat: r.HTTP.Repeat, work: work})
	began := time.Now()
	a := n.callTarget(ctx, r, deadline)
	took := time.Since(began)
	n.noteRun(k, &a)
	was := n.running.remove(r.ID)
	work.End(a.Status == call.OK)
	n.health.Note(n.targetFailed(ctx, r, a, was, took))
	scarce := was.scarce
	if n.meter.Threshold() < admit.Top {
		scarce += took
	}
	if a.Status != call.OK {
		took = 0
	} else {
		n.work.Took(r.Operation, took)
	}
	n.gate.Leave(took)
	a = n.withLoad(r, a)
	a.Load.Scarce = scarce
	return a
}

// inTime reports whether the local target can do a request in the time that
// is left, at its present pace. One that turned slow would take it, fail it at
// its deadline and lose the work of all requests above; refused at once, it is
// done by another instance. A few go to it all the same, to show its pace.
func (n *Node) inTime(r call.Request, deadline time.Time) bool {
	if !n.cfg.Policies.Pace || n.pace.Needs(r.Operation) <= time.Until(deadline) {
		return true
	}
	l := n.gate.Load()
	return l.Busy <= l.Limit/paceProbes
}

// targetFailed reports whether the local target failed a request by itself:
// not when its caller has left, when a call that it made was refused or
// failed elsewhere, or when it was given less time than it usually takes.
func (n *Node) targetFailed(ctx context.Context, r call.Request, a call.Answer, was run, took time.Duration) bool {
	if a.Status == call.OK || was.broken || errors.Is(ctx.Err(), context.Canceled) {
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
		return took >= slowTimes*n.work.Mean(r.Operation, 0)
	}
	return true
}

// withLoad adds how busy the target is, and up to which level the targets
// are not too busy that a request by this route meets.
func (n *Node) withLoad(r call.Request, a call.Answer) call.Answer {
	l := n.gate.Load()
	l.Failing, l.Slow = n.health.Failing(), n.pace.Slow()
	l.Admit, l.Binds = n.board.Below(r.Operation)
	if own := n.meter.Threshold(); own < l.Admit {
		l.Admit, l.Binds = own, n.cfg.Service
	}
	a.Load = &l
	return a
}

// callTarget hands a request to the local target.
func (n *Node) callTarget(ctx context.Context, r call.Request, deadline time.Time) call.Answer {
	left := time.Until(deadline).Milliseconds()
	if left <= 0 {
		return call.Refuse(r, "deadline passed", 0)
	}
	names := n.cfg.Headers
	h := make(http.Header, len(r.HTTP.Header)+3)
	for _, f := range r.HTTP.Header {
		h[f.Name] = append(h[f.Name], f.Value)
	}
	h.Set(names.Deadline, strconv.FormatInt(left, 10))
	h.Set(names.ExpectedInstance, r.To)
	h.Set(names.CallerService, r.HTTP.Caller)
	began := time.Now()
	got, err := n.target.Do(ctx, &targetconn.Request{ID: r.ID, Method: r.HTTP.Method, Host: r.HTTP.Host, URI: r.HTTP.URI, Header: h, Body: r.Body})
	switch {
	case errors.Is(err, targetconn.ErrNotSent):
		if errors.Is(err, targetconn.ErrNobody) {
			n.witness.Ended()
		}
		return call.Refuse(r, err.Error(), 0)
	case err != nil:
		return call.Answer{ID: r.ID, Status: call.Unknown, Reason: err.Error(), Reached: true, Ended: n.endedUnder(ctx, &r, began)}
	}
	return n.judge(r, got)
}

// judge says what a target's answer means.
func (n *Node) judge(r call.Request, got *targetconn.Answer) call.Answer {
	names := n.cfg.Headers
	a := call.Answer{ID: r.ID, Reached: true}
	switch {
	case got.Header.Get(names.NotExecuted) != "" || got.Code == http.StatusMisdirectedRequest:
		a.Status = call.NotRun
		a.Reason = "target refused: " + strconv.Itoa(got.Code)
		a.Leaving = got.Code == http.StatusMisdirectedRequest
		return a
	case got.Header.Get(names.Signature) == "" || got.Header.Get("Content-Encoding") != "":
		// Not the target's own answer, or not its body: it may have run.
		a.Status = call.Unknown
		a.Reason = "answer " + strconv.Itoa(got.Code) + " is not the target's own"
		return a
	case got.Code >= 200 && got.Code < 300:
		a.Status = call.OK
	default:
		a.Status = call.Failed
		a.Reason = "target answered " + strconv.Itoa(got.Code)
	}
	a.HTTP = &call.HTTPAnswer{Code: got.Code, Header: endToEnd(got.Header, lengthField)}
	a.Body = got.Body
	return a
}
