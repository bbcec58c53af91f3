package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/memory"
)

const (
	// defaultTimeout applies if neither the request nor its route sets a
	// timeout.
	defaultTimeout = 30 * time.Second
	// retryAfterNoRoutes is the Retry-After of a node that has no routes yet.
	retryAfterNoRoutes = 500 * time.Millisecond
	// retryAfterUnavailable is the Retry-After of a node that is shutting
	// down or has no memory for a body.
	retryAfterUnavailable = time.Second
)

// request is a caller's request in progress.
type request struct {
	call.Request
	body       memory.Buffer // of Request.Body
	route      *directory.Route
	version    callgraph.Version // of the routes that route is of
	deadline   time.Time
	received   time.Time
	quarantine quarantineState
	account    *account.Account // authenticated by its key; nil for none
	rank       int              // of a new request
	// queueDeadline limits the time that a new request waits in queues, over
	// all attempts; zero for child requests.
	queueDeadline time.Time
	answer        *memory.Hold // room for a large answer
	refused       cause        // why forward refused it; empty if it did not
}

// serveCaller handles a request from a caller on this VM or from the local
// target.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.activeRequests.Add(1)
	defer n.activeRequests.Add(-1)
	if _, draining := n.drainingSince(); draining {
		w.Header().Set("Connection", "close")
	}
	q, refused := n.accept(w, r)
	if refused != nil {
		n.refuse(w, r, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer q.answer.Release()
	a := n.forwardAndRelease(ctx, q)
	defer a.Held.Release() // the caller may take its time to read it
	if a.Status == call.OK {
		n.answerSizes.record(q.route.Name, int64(len(a.Body)))
	}
	n.recordOutcome(q, a, errors.Is(ctx.Err(), context.Canceled))
	n.writeAnswer(w, q, a)
}

// forwardAndRelease forwards a request and gives back the memory of its body. The body
// does not count while the answer is written, which takes as long as the caller
// reads: one that does not read would leave no memory for others.
func (n *Node) forwardAndRelease(ctx context.Context, q *request) call.Answer {
	defer func() {
		q.Body = nil
		q.body.Release()
	}()
	return n.forward(ctx, q)
}

// recordOutcome updates statistics and admission control with the result of a
// request; canceled is set if the caller disconnected.
func (n *Node) recordOutcome(q *request, a call.Answer, canceled bool) {
	elapsed := time.Since(q.received)
	if a.Status == call.NotRun {
		n.limiter.Refund(q.account)
	}
	n.stats.observeRequest(q.route, q.Service, a.Status, elapsed)
	if a.Status == call.NotRun && q.route.IsSplit() {
		n.stats.countSplitRefusal(q.route.Name, q.Service, q.refused)
	}
	var overloadSlotTime time.Duration
	if a.Load != nil {
		overloadSlotTime = a.Load.OverloadSlotTime
	}
	ok := a.Status == call.OK
	if ok {
		n.totalTimes.Record(q.route.Name, elapsed)
	}
	if q.HTTP.Child {
		n.running.childEnded(q.ID, !ok, overloadSlotTime)
		return
	}
	if a.Status != call.NotRun && !canceled {
		n.successRates.RecordOutcome(q.route.Name, q.rank, ok)
	}
	if ok && overloadSlotTime > 0 {
		n.costs.Record(q.route.Name, q.route.Priority, overloadSlotTime)
	}
}

// accept validates a request, authenticates it and applies admission control.
// A refused request has not been executed.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	received := time.Now()
	m, refused := n.match(r)
	if refused != nil {
		return nil, refused
	}
	n.deadlines.record(received.Add(m.timeout))
	origin, refused := n.admit(r, m)
	if refused != nil {
		return nil, refused
	}
	answer, refused := n.reserveAnswer(m.route, origin)
	if refused != nil {
		return nil, n.withdraw(origin, refused)
	}
	body, refused := n.readBody(w, r, m.routes.Limits.BodyBytes, received.Add(origin.limit(m.timeout, received)))
	if refused == nil {
		m, refused = n.rematch(r, m, &origin)
	}
	if refused != nil {
		body.Release()
		answer.Release()
		return nil, n.withdraw(origin, refused)
	}
	timeout := origin.limit(m.timeout, received)
	q := &request{body: body, answer: answer, route: m.route, version: m.routes.Version, received: received, deadline: received.Add(timeout), account: origin.account, rank: origin.rank}
	q.Request = call.Request{ID: n.idOf(r), Service: n.pickService(m.routes, m.route), Operation: m.route.Name, Body: body.Bytes(), HTTP: n.targetRequest(r, m.routes, m.route, origin)}
	q.quarantine = n.quarantineStateOf(&q.Request)
	if !origin.child {
		q.queueDeadline = received.Add(n.queueWait(n.requestTimes(m.route, timeout)))
	}
	return q, nil
}

// admit determines where a request comes from, authenticates a new one and applies
// admission control to it.
func (n *Node) admit(r *http.Request, m routing) (requestOrigin, *refusal) {
	id := n.idOf(r)
	keyed := m.routes.Accounts != nil && r.Header[n.cfg.Headers.APIKey] != nil
	origin := n.originOf(id, m.route, keyed)
	if origin.child {
		return origin, nil
	}
	var refused *refusal
	if origin.account, refused = n.authenticate(r, m.routes, m.route, id); refused != nil {
		return origin, refused
	}
	n.assignLevel(&origin, m.routes, m.route, id)
	if refused := n.checkRateLimit(origin.account); refused != nil {
		return origin, refused
	}
	if refused := n.admitNew(m.route, origin.level, m.timeout); refused != nil {
		return origin, n.withdraw(origin, refused)
	}
	return origin, nil
}

// withdraw gives back to the account what a request took that is refused after all.
func (n *Node) withdraw(origin requestOrigin, refused *refusal) *refusal {
	n.limiter.Refund(origin.account)
	if refused.account == nil {
		refused.account = origin.account
	}
	return refused
}

// reserveAnswer reserves room for the answer of a new request if answers of its route
// are large. Without any, the request is refused before it runs: one that has run and
// whose answer finds no room would be lost to its caller.
func (n *Node) reserveAnswer(rt *directory.Route, origin requestOrigin) (*memory.Hold, *refusal) {
	size := n.answerSizes.large(rt.Name)
	if size == 0 || origin.child {
		return nil, nil
	}
	if !n.awaited.Take(size) {
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeAnswer, retryAfter: retryAfterUnavailable, reason: "no memory for the answer"}
	}
	return memory.NewHold(&n.awaited, size), nil
}

// requestTimes returns the durations from which wait limits are derived.
func (n *Node) requestTimes(rt *directory.Route, remaining time.Duration) admit.RequestTiming {
	return admit.RequestTiming{Remaining: remaining, TargetLatency: rt.TargetLatency, TypicalLatency: n.totalTimes.Mean(rt.Name, 0)}
}

// targetRequest returns the request to be forwarded to the target.
func (n *Node) targetRequest(r *http.Request, routes *directory.Routes, rt *directory.Route, origin requestOrigin) *call.HTTPRequest {
	fields := n.withAccountHeader(n.forwardedFields(r.Header, routes.Accounts != nil), origin.account)
	return &call.HTTPRequest{Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: fields,
		Caller: n.cfg.Service, Level: origin.level, Child: origin.child, Retry: origin.retry, Idempotent: rt.Idempotent}
}

// requestOrigin describes where a request comes from.
type requestOrigin struct {
	level call.Level
	child bool // sent by the local target while it executes another request
	retry bool // the parent request is a retry
	// parentDeadline is the deadline of the parent of a child request.
	parentDeadline time.Time
	// account is the authenticated account of a new request; nil for none.
	account *account.Account
	rank    int // of a new request
}

// limit returns the timeout of a request: a child request ends with its parent.
func (o *requestOrigin) limit(timeout time.Duration, received time.Time) time.Duration {
	if !o.child {
		return timeout
	}
	return min(timeout, o.parentDeadline.Sub(received))
}

// originOf looks up the parent of a request. A child request inherits the
// level of its parent and ends with it. Targets send no API keys, so a request
// with a key is a new one, whatever its ID; otherwise a caller with a removed key
// could run requests under the ID of one in progress.
func (n *Node) originOf(id call.RequestID, rt *directory.Route, keyed bool) requestOrigin {
	if keyed {
		return requestOrigin{}
	}
	parent, ok := n.running.childStarted(id)
	if !ok {
		return requestOrigin{}
	}
	n.thresholds.RecordCall(parent.route, rt.Name)
	return requestOrigin{level: parent.level, child: true, retry: parent.retry, parentDeadline: parent.deadline}
}

// assignLevel sets the rank and admission level of a new request.
func (n *Node) assignLevel(origin *requestOrigin, routes *directory.Routes, rt *directory.Route, id call.RequestID) {
	rank, total := routes.Rank(origin.account, rt)
	origin.rank = admit.ScaleRank(rank, total)
	origin.level = n.levels.Level(admit.RequestInfo{Route: rt.Name, Priority: rt.Priority, Rank: origin.rank}, id)
	n.thresholds.ObserveLevel(origin.level)
}

// admitNew refuses a new request that may outlast the shutdown or whose level
// exceeds the threshold of a target on its path. Refusing it at the entry
// node, the one that receives it from its caller, avoids partial work that
// would be discarded.
func (n *Node) admitNew(rt *directory.Route, level call.Level, remaining time.Duration) *refusal {
	if since, ok := n.drainingSince(); n.refuseNew.Load() || (ok && !n.drain.acceptsNew(since, remaining, rt.Idempotent)) {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeLeaving, retryAfter: retryAfterUnavailable, reason: "node is leaving"}
	}
	if threshold := n.admission.Threshold(rt.Name); level > threshold {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeOverload, retryAfter: n.retryAfter(n.requestTimes(rt, remaining)),
			reason: "overload or no prospects: level " + strconv.Itoa(int(level)) + " is over " + strconv.Itoa(int(threshold))}
	}
	return nil
}

// refusal is an error response of the node itself to a request that has not
// been executed.
type refusal struct {
	code       int
	cause      cause
	retryAfter time.Duration // 0 omits the Retry-After header
	reason     string
	// account is the account of the request; nil if there is none or it is
	// unknown.
	account *account.Account
}

func (n *Node) refuse(w http.ResponseWriter, r *http.Request, ref *refusal) {
	id := r.Header.Get(n.cfg.Headers.RequestID)
	n.stats.countRefusal(ref.cause, ref.account)
	if ref.code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", n.cfg.Headers.AuthScheme)
	}
	n.decisions.Log("request_refused", func() log.Fields {
		return log.Fields{"id": id, "code": ref.code, "cause": ref.cause, "account": accountName(ref.account), "why": ref.reason, "come_back_ms": ref.retryAfter.Milliseconds(), "routes": n.routesVersion(), "path": r.URL.Path}
	})
	writeError(w, n.cfg.Headers, call.RequestID(id), ref.code, ref.retryAfter, ref.reason)
}
