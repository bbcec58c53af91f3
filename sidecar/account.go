package sidecar

import (
	"net/http"
	"strings"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
)

// holder returns the client account whose key a new request carries; nil where
// it needs none. A key that no version known here holds may be of a newer one
// while the source of the versions is away, and is not refused for good then.
func (n *Node) holder(r *http.Request, routes *directory.Routes, rt *directory.Route, id call.RequestID) (*account.Account, *refusal) {
	if routes.Accounts == nil {
		return nil, nil
	}
	key, ok := n.keyOf(r.Header)
	if ok {
		if a := routes.Accounts.Holder(key); a != nil {
			return a, nil
		}
	}
	_, isCall := parentID(id)
	switch {
	case rt.Public:
		return nil, nil
	case isCall && r.Header[n.cfg.Headers.Key] == nil:
		// Calls carry no key; this node may have been started anew while the
		// request ran for which it is made.
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeKey, after: comeBackNoRoutes, why: "call for a request that is not known to run here"}
	case n.dir.SourceAway():
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeKey, after: comeBackNoRoutes, why: "no account holds the key in a version that may be old"}
	}
	return nil, &refusal{code: http.StatusUnauthorized, cause: causeKey, why: "no account holds the key"}
}

// keyOf returns the API key in a request's header; ok is false where it has
// none, or more than one.
func (n *Node) keyOf(h http.Header) (key string, ok bool) {
	values := h[n.cfg.Headers.Key]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, found && key != "" && strings.EqualFold(scheme, n.cfg.Headers.KeyScheme)
}

// withAccount are the header fields of a request as its target is to get them:
// who holds the caller's key, and never the key, or an account that the caller
// named.
func (n *Node) withAccount(fs []call.Field, a *account.Account) []call.Field {
	if a == nil {
		return fs
	}
	return append(fs, call.Field{Name: n.cfg.Headers.Account, Value: string(a.Name)})
}

// withinLimit refuses a request of an account that has sent all that it may.
func (n *Node) withinLimit(a *account.Account) *refusal {
	if !n.cfg.Policies.Limits {
		return nil
	}
	ok, after := n.limiter.Take(a)
	if ok {
		return nil
	}
	return &refusal{code: http.StatusTooManyRequests, cause: causeLimit, after: after, account: a, why: "account is over its rate limit"}
}

// nameOf is an account's name; empty for none.
func nameOf(a *account.Account) account.Name {
	if a == nil {
		return ""
	}
	return a.Name
}
