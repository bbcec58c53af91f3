package directory

import (
	"errors"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/message"
	"github.com/rotisserie/eris"
)

// ErrNoRoute is returned for a host and path that no route in force matches.
var ErrNoRoute = eris.New("no route for this host and path")

// ErrInvalidRoutes is wrapped by every error about routes that do not hold
// together.
var ErrInvalidRoutes = eris.New("invalid routes")

type (
	// Share is one service that a route's requests go to, and its weight
	// against the route's other shares.
	Share struct {
		Service string
		Weight  int
	}

	// Route says where the requests under one path prefix of a host go.
	Route struct {
		Name       string
		Host       string
		Prefix     string // begins and ends with a slash
		Shares     message.List[Share]
		Idempotent bool
		// Timeout is the longest time a caller is kept waiting; zero for
		// as long as the caller says.
		Timeout       time.Duration
		TargetLatency time.Duration // an answer later than this is worth less
		MaxInstances  int           // how many instances one request may be sent to
		Priority      int           // 0 is refused last
		// Public routes are open to callers without an account.
		Public bool `msgpack:",omitempty"`
	}

	// Limits bound what a caller may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Service is a service that a version of the routes names.
	Service struct {
		Name       string
		HealthPath string // of its instances; empty if they have none
	}

	// Routes is one version of the routes of a deployment.
	Routes struct {
		Version callgraph.Version
		Limits  Limits
		// Services are those there are; nil where the source names none.
		Services []Service
		// Accounts are those whose keys are let in; nil where callers need
		// none.
		Accounts   *account.Book
		hosts      map[string][]Route // longest prefix first
		priorities []int              // that routes have, in order
	}
)

// NewRoutes checks a set of routes whole and returns it ready for matching;
// the error wraps ErrInvalidRoutes and names every problem.
func NewRoutes(v callgraph.Version, limits Limits, all []Route) (*Routes, error) {
	r := &Routes{Version: v, Limits: limits, hosts: map[string][]Route{}}
	var problems []error
	for _, rt := range all {
		problems = append(problems, rt.problems()...)
		h := strings.ToLower(rt.Host)
		r.hosts[h] = append(r.hosts[h], rt)
		r.priorities = append(r.priorities, rt.Priority)
	}
	if len(problems) > 0 {
		return nil, eris.Wrap(ErrInvalidRoutes, errors.Join(problems...).Error())
	}
	slices.Sort(r.priorities)
	r.priorities = slices.Compact(r.priorities)
	for _, rts := range r.hosts {
		sort.SliceStable(rts, func(i, j int) bool { return len(rts[i].Prefix) > len(rts[j].Prefix) })
	}
	return r, nil
}

// Rank orders the requests of accounts on routes, from 0 without gaps, out of
// so many ranks: an account's priority goes before a route's. Where callers need
// no account it is the route's priority, of any number.
func (r *Routes) Rank(a *account.Account, rt *Route) (rank, of int) {
	if r.Accounts == nil {
		return rt.Priority, 0
	}
	i, _ := slices.BinarySearch(r.priorities, rt.Priority)
	n := len(r.priorities)
	return r.Accounts.Rank(a)*n + i, r.Accounts.Ranks() * n
}

// names reports whether the routes name a service; none known name all.
func (r *Routes) names(service string) bool {
	if r == nil || r.Services == nil {
		return true
	}
	_, ok := r.service(service)
	return ok
}

func (r *Routes) service(name string) (Service, bool) {
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func (rt *Route) problems() []error {
	var ps []error
	bad := func(what string) { ps = append(ps, eris.Errorf("route %s: %s", rt.Name, what)) }
	if rt.Host == "" {
		bad("no host")
	}
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		bad("prefix must begin and end with a slash")
	}
	if rt.MaxInstances < 1 {
		bad("must allow one instance at least")
	}
	if rt.Timeout < 0 || rt.TargetLatency < 0 {
		bad("negative time")
	}
	total := 0
	for _, s := range rt.Shares {
		if s.Service == "" || s.Weight < 0 {
			bad("a share without service or with a negative weight")
		}
		total += s.Weight
	}
	if total == 0 {
		bad("no service gets any of its requests")
	}
	return ps
}

// Match returns the route with the longest prefix that begins path, among
// those of host; the error is ErrNoRoute.
func (r *Routes) Match(host, path string) (*Route, error) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	rts, ok := r.hosts[host]
	if !ok {
		rts = r.hosts[strings.ToLower(host)]
	}
	for i := range rts {
		if strings.HasPrefix(path, rts[i].Prefix) {
			return &rts[i], nil
		}
	}
	return nil, ErrNoRoute
}

// Service returns the service that gets the request with this draw, a number
// in [0,1): shares get their weight's part of evenly spread draws.
func (rt *Route) Service(draw float64) string {
	if len(rt.Shares) == 1 {
		return rt.Shares[0].Service
	}
	total := 0
	for _, s := range rt.Shares {
		total += s.Weight
	}
	at := draw * float64(total)
	for _, s := range rt.Shares {
		if at < float64(s.Weight) {
			return s.Service
		}
		at -= float64(s.Weight)
	}
	return rt.Shares[len(rt.Shares)-1].Service
}
