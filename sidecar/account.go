package sidecar

import (
	"net/http"
	"strings"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
)

// authenticate returns the client account that holds the request's API key,
// or nil if none is required. An unknown key is refused with 503 instead of
// 401 while the directory source is unavailable, because a newer version may
// contain it.
func (n *Node) authenticate(r *http.Request, routes *directory.Routes, rt *directory.Route, id call.RequestID) (*account.Account, *refusal) {
	if routes.Accounts == nil {
		return nil, nil
	}
	key, ok := n.apiKey(r.Header)
	if ok {
		if a := routes.Accounts.ByKey(key); a != nil {
			return a, nil
		}
	}
	_, isChild := parentID(id)
	switch {
	case rt.Public:
		return nil, nil
	case isChild && r.Header[n.cfg.Headers.APIKey] == nil:
		// Child requests carry no key. This node may have restarted while the
		// parent request was running, so the child may be retried.
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeKey, retryAfter: retryAfterNoRoutes, reason: "call for a request that is not known to run here"}
	case n.dir.SourceUnreachable():
		return nil, &refusal{code: http.StatusServiceUnavailable, cause: causeKey, retryAfter: retryAfterNoRoutes, reason: "no account holds the key in a version that may be old"}
	}
	return nil, &refusal{code: http.StatusUnauthorized, cause: causeKey, reason: "no account holds the key"}
}

// apiKey returns the API key in a request's header; ok is false if there is
// no key or more than one.
func (n *Node) apiKey(h http.Header) (key string, ok bool) {
	values := h[n.cfg.Headers.APIKey]
	if len(values) != 1 {
		return "", false
	}
	scheme, key, found := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	return key, found && key != "" && strings.EqualFold(scheme, n.cfg.Headers.AuthScheme)
}

// withAccountHeader appends the name of the authenticated account to the
// header fields for the target. The key itself and an account header set by
// the caller are never forwarded.
func (n *Node) withAccountHeader(fs []call.Field, a *account.Account) []call.Field {
	if a == nil {
		return fs
	}
	return append(fs, call.Field{Name: n.cfg.Headers.Account, Value: string(a.Name)})
}

// checkRateLimit refuses the request if its account is over its rate limit.
func (n *Node) checkRateLimit(a *account.Account) *refusal {
	if !n.cfg.Policies.RateLimits {
		return nil
	}
	ok, retryAfter := n.limiter.Allow(a)
	if ok {
		return nil
	}
	return &refusal{code: http.StatusTooManyRequests, cause: causeLimit, retryAfter: retryAfter, account: a, reason: "account is over its rate limit"}
}

// accountName returns the account's name, or "" for nil.
func accountName(a *account.Account) account.Name {
	if a == nil {
		return ""
	}
	return a.Name
}
