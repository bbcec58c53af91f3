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

// ErrNoRoute is returned if no route matches a host and path.
var ErrNoRoute = eris.New("no route for this host and path")

// ErrInvalidRoutes is wrapped by all errors about invalid routes.
var ErrInvalidRoutes = eris.New("invalid routes")

type (
	// Share is a service that gets a part of a route's requests, in proportion
	// to its weight.
	Share struct {
		Service string
		Weight  int
	}

	// Route defines where requests below a path prefix of a host are sent.
	Route struct {
		Name       string
		Host       string
		Prefix     string // begins and ends with a slash
		Shares     message.List[Share]
		Idempotent bool
		// Timeout is the maximum time to an answer; 0 if only the caller sets a
		// limit.
		Timeout       time.Duration
		TargetLatency time.Duration // latency that callers expect; later answers count as less useful
		MaxInstances  int           // maximum number of instances that one request is sent to
		Priority      int           // 0 is the highest and refused last
		// Public routes need no account.
		Public bool `msgpack:",omitempty"`
	}

	// Limits bound the requests of callers, in bytes and time.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Service is a service named by the routes.
	Service struct {
		Name       string
		HealthPath string // health check path of its instances; empty if they have none
	}

	// Routes is one immutable version of the routes of a deployment.
	Routes struct {
		Version callgraph.Version
		Limits  Limits
		// Services lists the existing services; nil if the source does not list
		// them.
		Services []Service
		// Accounts holds the client accounts; nil if callers need none.
		Accounts   *account.Registry
		hosts      map[string][]Route // longest prefix first
		priorities []int              // distinct priorities of the routes, sorted
	}
)

// NewRoutes validates a set of routes and prepares it for matching. The error
// wraps ErrInvalidRoutes and lists all problems.
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

// Rank returns the rank of the requests of an account on a route, and the
// number of ranks. Rank 0 is refused last; the priority of the account counts
// before that of the route. If callers need no account, rank is the priority of
// the route and numRanks is 0.
func (r *Routes) Rank(a *account.Account, rt *Route) (rank, numRanks int) {
	if r.Accounts == nil {
		return rt.Priority, 0
	}
	i, _ := slices.BinarySearch(r.priorities, rt.Priority)
	n := len(r.priorities)
	return r.Accounts.Rank(a)*n + i, r.Accounts.NumRanks() * n
}

// hasService reports whether the routes name a service. Without a list of
// services it is always true.
func (r *Routes) hasService(service string) bool {
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
	add := func(problem string) { ps = append(ps, eris.Errorf("route %s: %s", rt.Name, problem)) }
	if rt.Host == "" {
		add("host is empty")
	}
	if !strings.HasPrefix(rt.Prefix, "/") || !strings.HasSuffix(rt.Prefix, "/") {
		add("prefix must begin and end with a slash")
	}
	if rt.MaxInstances < 1 {
		add("maximum number of instances must be at least 1")
	}
	if rt.Timeout < 0 || rt.TargetLatency < 0 {
		add("timeout and target latency must not be negative")
	}
	total := 0
	for _, s := range rt.Shares {
		if s.Service == "" || s.Weight < 0 {
			add("share has an empty service or a negative weight")
		}
		total += s.Weight
	}
	if total == 0 {
		add("total weight of the shares is 0")
	}
	return ps
}

// Match returns the route of host, with or without a port, that has the longest
// prefix of path, or ErrNoRoute.
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

// IsSplit reports whether the requests of the route are split among services.
func (rt *Route) IsSplit() bool { return len(rt.Shares) > 1 }

// PickService returns the service for a request. draw is a random number in
// [0,1).
func (rt *Route) PickService(draw float64) string {
	if !rt.IsSplit() {
		return rt.Shares[0].Service
	}
	total := 0
	for _, s := range rt.Shares {
		total += s.Weight
	}
	remaining := draw * float64(total)
	for _, s := range rt.Shares {
		if remaining < float64(s.Weight) {
			return s.Service
		}
		remaining -= float64(s.Weight)
	}
	return rt.Shares[len(rt.Shares)-1].Service
}
