package sidecar

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
)

const (
	// deadlineDefault is taken for a request that says neither how long its
	// caller waits nor has a route with a timeout.
	deadlineDefault = 30 * time.Second
	// comeBackNoRoutes is when to come back to a node that knows no routes
	// yet: it has them within some hundred milliseconds of its start.
	comeBackNoRoutes = 500 * time.Millisecond
	// comeBackLeaving is when to come back to a node that is stopping; the
	// caller's next request goes to another one by then.
	comeBackLeaving = time.Second
)

// request is a caller's request on its way.
type request struct {
	call.Request
	route    *directory.Route
	deadline time.Time
	entered  time.Time
	kept     kept
	account  *account.Account // whose key it carries; nil for none
	rank     int
	// turnBy is until when a new request may wait for its turn, at all
	// instances together; zero for a call of a request that runs already.
	turnBy time.Time
}

// serveCaller answers one request of a caller on this VM, or of the local
// target.
func (n *Node) serveCaller(w http.ResponseWriter, r *http.Request) {
	n.active.Add(1)
	defer n.active.Add(-1)
	if _, leaving := n.leavingSince(); leaving {
		w.Header().Set("Connection", "close")
	}
	q, refusal := n.accept(w, r)
	if refusal != nil {
		n.refuse(w, r, refusal)
		return
	}
	defer n.bodies.Add(-int64(len(q.Body)))
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	a := n.forward(ctx, q)
	n.account(q, a, errors.Is(ctx.Err(), context.Canceled))
	n.write(w, q, a)
}

// account notes how a request ended; left says that its caller did not wait.
func (n *Node) account(q *request, a call.Answer, left bool) {
	took := time.Since(q.entered)
	if a.Status == call.NotRun {
		n.limiter.Return(q.account)
	}
	n.stats.answered(q.route, q.Service, a.Status, took)
	var scarce time.Duration
	if a.Load != nil {
		scarce = a.Load.Scarce
	}
	ok := a.Status == call.OK
	if ok {
		n.usual.Took(q.route.Name, took)
	}
	if q.HTTP.Begun {
		n.running.called(q.ID, !ok, scarce)
		return
	}
	if a.Status != call.NotRun && !left {
		n.prospects.Ended(q.route.Name, q.rank, ok)
	}
	if ok && scarce > 0 {
		n.costs.Took(q.route.Name, q.route.Priority, scarce)
	}
}

// accept reads and checks a request; a refusal has run nothing.
func (n *Node) accept(w http.ResponseWriter, r *http.Request) (*request, *refusal) {
	entered := time.Now()
	routes := n.dir.View().Routes
	if routes == nil {
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeNoRoutes, after: comeBackNoRoutes, why: "no routes known yet"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	rt, err := routes.Match(r.Host, path)
	if err != nil {
		return nil, n.noRoute()
	}
	if r.Header.Get(n.cfg.Headers.RequestID) == "" {
		return nil, &refusal{code: http.StatusBadRequest, cause: causeRequest, why: n.cfg.Headers.RequestID + " is missing"}
	}
	left, err := n.timeLeft(r, rt)
	if err != nil {
		return nil, &refusal{code: http.StatusBadRequest, cause: causeRequest, why: err.Error()}
	}
	id := call.RequestID(r.Header.Get(n.cfg.Headers.RequestID))
	from := n.origin(id, rt)
	if !from.begun {
		var no *refusal
		if from.account, no = n.holder(r, routes, rt, id); no != nil {
			return nil, no
		}
		n.place(&from, routes, rt, id)
		if no := n.withinLimit(from.account); no != nil {
			return nil, no
		}
		if no := n.admitNew(rt, from.level, left); no != nil {
			n.limiter.Return(from.account)
			no.account = from.account
			return nil, no
		}
	}
	body, no := n.readBody(w, r, routes.Limits.BodyBytes, entered.Add(left))
	if no != nil {
		n.limiter.Return(from.account)
		no.account = from.account
		return nil, no
	}
	q := &request{route: rt, entered: entered, deadline: entered.Add(left), account: from.account, rank: from.rank}
	q.Request = call.Request{ID: id, Service: rt.Service(n.draw()), Operation: rt.Name, Body: body, HTTP: n.forTarget(r, routes, rt, from)}
	q.kept = n.keptAs(&q.Request)
	if !from.begun {
		q.turnBy = entered.Add(n.patience(n.times(rt, left)))
	}
	return q, nil
}

// times is what is known of the time of a request by a route.
func (n *Node) times(rt *directory.Route, left time.Duration) admit.Times {
	return admit.Times{Left: left, Target: rt.TargetLatency, Usual: n.usual.Mean(rt.Name, 0)}
}

// forTarget is the request as its target is to get it.
func (n *Node) forTarget(r *http.Request, routes *directory.Routes, rt *directory.Route, from origin) *call.HTTPRequest {
	fields := n.withAccount(n.fields(r.Header, routes.Accounts != nil), from.account)
	return &call.HTTPRequest{Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: fields,
		Caller: n.cfg.Service, Level: from.level, Begun: from.begun, Repeat: from.repeat, Idempotent: rt.Idempotent}
}

// origin says what a request comes from.
type origin struct {
	level  call.Level
	begun  bool // a call of a request that runs at the local target
	repeat bool // and that request is a repeat
	// account is whose key a new request carries; nil for none.
	account *account.Account
	rank    int // of a new request
}

// origin finds out whether a request is a call of one that runs, and has the
// level of that one then.
func (n *Node) origin(id call.RequestID, rt *directory.Route) origin {
	p, ok := n.running.calling(id)
	if !ok {
		return origin{}
	}
	n.board.Called(p.route, rt.Name)
	return origin{level: p.level, begun: true, repeat: p.repeat}
}

// place gives a new request its rank and level.
func (n *Node) place(from *origin, routes *directory.Routes, rt *directory.Route, id call.RequestID) {
	rank, of := routes.Rank(from.account, rt)
	from.rank = admit.Squeeze(rank, of)
	from.level = n.levels.Level(admit.Kind{Route: rt.Name, Priority: rt.Priority, Rank: from.rank}, id)
	n.board.See(from.level)
}

// admitNew refuses a new request that the node will not see through, or that
// some target on its way is too busy for: it would run in part, for nothing,
// and take room from those that can be done.
func (n *Node) admitNew(rt *directory.Route, level call.Level, left time.Duration) *refusal {
	if since, ok := n.leavingSince(); ok && since > n.cfg.Grace*refuseNum/refuseDen {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeLeaving, after: comeBackLeaving, why: "node is leaving"}
	}
	if up := n.admission.Threshold(rt.Name); level > up {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeOverload, after: n.comeBack(n.times(rt, left)),
			why: "overload or no prospects: level " + strconv.Itoa(int(level)) + " is over " + strconv.Itoa(int(up))}
	}
	return nil
}

// noRoute refuses a request that no route matches. While the source of the
// routes is away a newer version may have the route, so that is no final
// answer.
func (n *Node) noRoute() *refusal {
	if n.dir.SourceAway() {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeNoRoutes, after: comeBackNoRoutes, why: "no route in a version that may be old"}
	}
	return &refusal{code: http.StatusNotFound, cause: causeNoRoute, why: directory.ErrNoRoute.Error()}
}

// timeLeft returns how long the request may take: as long as its caller
// waits, within the route's timeout.
func (n *Node) timeLeft(r *http.Request, rt *directory.Route) (time.Duration, error) {
	left := deadlineDefault
	if rt.Timeout > 0 {
		left = rt.Timeout
	}
	v := r.Header.Get(n.cfg.Headers.Deadline)
	if v == "" {
		return left, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 0 {
		return 0, errors.New(n.cfg.Headers.Deadline + " is not a number of milliseconds: " + strconv.Quote(v))
	}
	return min(left, time.Duration(ms)*time.Millisecond), nil
}

// draw returns evenly spread numbers in [0,1) for split routes: multiples of
// the golden ratio, which keep every share near its weight over short times.
func (n *Node) draw() float64 {
	const golden = 0.6180339887498949
	x := float64(n.draws.Add(1)) * golden
	return x - float64(int64(x))
}

// refusal is an answer of the node's own to a request that has run nowhere.
type refusal struct {
	code  int
	cause cause
	after time.Duration // when to come back; 0 for no use in it
	why   string
	// account is whose request it was; nil for none, or where it is not known.
	account *account.Account
}

func (n *Node) refuse(w http.ResponseWriter, r *http.Request, f *refusal) {
	id := r.Header.Get(n.cfg.Headers.RequestID)
	n.stats.refused(f.cause, f.account)
	if f.code == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", n.cfg.Headers.KeyScheme)
	}
	n.note.Note("request_refused", func() log.Fields {
		return log.Fields{"id": id, "code": f.code, "cause": f.cause, "account": nameOf(f.account), "why": f.why, "come_back_ms": f.after.Milliseconds(), "routes": n.version(), "path": r.URL.Path}
	})
	writeOwn(w, n.cfg.Headers, call.RequestID(id), f.code, f.after, f.why)
}
