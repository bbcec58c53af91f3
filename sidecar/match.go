package sidecar

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
)

// routing is what a version of the routes says of a request.
type routing struct {
	routes  *directory.Routes
	route   *directory.Route
	timeout time.Duration // the route's or, if that is shorter, the caller's
}

func (n *Node) idOf(r *http.Request) call.RequestID {
	return call.RequestID(r.Header.Get(n.cfg.Headers.RequestID))
}

// match finds the route of a request in the version in force and checks the request's
// headers.
func (n *Node) match(r *http.Request) (routing, *refusal) {
	m := routing{routes: n.dir.View().Routes}
	if m.routes == nil {
		return m, &refusal{code: http.StatusServiceUnavailable, cause: causeNoRoutes, retryAfter: retryAfterNoRoutes, reason: "no routes known yet"}
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	var err error
	if m.route, err = m.routes.Match(r.Host, path); err != nil {
		return m, n.noRouteRefusal()
	}
	if n.idOf(r) == "" {
		return m, &refusal{code: http.StatusBadRequest, cause: causeBadHeader, reason: n.cfg.Headers.RequestID + " is missing"}
	}
	if m.timeout, err = n.requestTimeout(r, m.route); err != nil {
		return m, &refusal{code: http.StatusBadRequest, cause: causeBadHeader, reason: err.Error()}
	}
	return m, nil
}

// rematch matches a request again once its body has arrived, which may take as long as
// the request has time. By the version in force before, it could be run by a service
// that its route has left since, or with a key that was revoked.
func (n *Node) rematch(r *http.Request, before routing, origin *requestOrigin) (routing, *refusal) {
	if n.dir.View().Routes == before.routes {
		return before, nil
	}
	m, refused := n.match(r)
	if refused != nil || origin.child {
		return m, refused
	}
	a, refused := n.authenticate(r, m.routes, m.route, n.idOf(r))
	if refused != nil {
		return m, refused
	}
	if accountName(a) == accountName(origin.account) {
		origin.account = a
		return m, nil
	}
	n.limiter.Refund(origin.account)
	origin.account = nil
	if refused := n.checkRateLimit(a); refused != nil {
		return m, refused
	}
	origin.account = a
	return m, nil
}

// noRouteRefusal returns 404, or 503 while the directory source is
// unavailable, because a newer version may contain the route.
func (n *Node) noRouteRefusal() *refusal {
	if n.dir.SourceUnreachable() {
		return &refusal{code: http.StatusServiceUnavailable, cause: causeNoRoutes, retryAfter: retryAfterNoRoutes, reason: "no route in a version that may be old"}
	}
	return &refusal{code: http.StatusNotFound, cause: causeNoRoute, reason: directory.ErrNoRoute.Error()}
}

// requestTimeout returns the smaller of the route's timeout and the time for
// which the caller waits.
func (n *Node) requestTimeout(r *http.Request, rt *directory.Route) (time.Duration, error) {
	timeout := defaultTimeout
	if rt.Timeout > 0 {
		timeout = rt.Timeout
	}
	v := r.Header.Get(n.cfg.Headers.Deadline)
	if v == "" {
		return timeout, nil
	}
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms < 0 {
		return 0, errors.New(n.cfg.Headers.Deadline + " is not a number of milliseconds: " + strconv.Quote(v))
	}
	return min(timeout, time.Duration(ms)*time.Millisecond), nil
}
