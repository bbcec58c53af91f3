package directory

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

type (
	// InstanceID names an instance. One that starts again may keep it; its
	// Start tells the two apart.
	InstanceID string

	// UnixMilli is a moment in milliseconds since 1970; 0 where the instance
	// does not say.
	UnixMilli int64

	// Start names one start of an instance. Whatever is known of how an
	// instance does belongs to a start: the next one holds nothing of it.
	Start struct {
		ID InstanceID
		At UnixMilli
	}

	// Revision orders the changes of a source.
	Revision uint64

	// Instance is one running instance of a service.
	Instance struct {
		ID       InstanceID
		Started  UnixMilli
		Service  string
		DC       callgraph.DC
		Addr     string // host:port, reachable from its own VM only
		Slots    int    // requests it serves at once
		Leaving  bool   // takes no new requests
		Unlisted bool   // its entry went, without a word that it leaves
		Doubtful bool   // and nobody vouches for it: only for want of another
		ColdTill time.Time
		Since    Revision // at which it was first listed
		Revision Revision // at which its entry last changed
	}

	// group is the instances of one service.
	group struct {
		all  []Instance
		byDC map[callgraph.DC][]Instance
	}

	// View is what a node knows at one moment; it never changes.
	View struct {
		Routes   *Routes // nil while none are known
		services map[string]*group
		byAddr   map[string]Instance
		ids      map[InstanceID]Instance
	}
)

// newView leaves out instances of services that the routes in force do not
// name: an entry of another writer could otherwise hide the instance that is
// at its address.
func newView(routes *Routes, ids map[InstanceID]Instance) *View {
	v := &View{Routes: routes, services: map[string]*group{}, byAddr: map[string]Instance{}, ids: map[InstanceID]Instance{}}
	for id, in := range ids {
		if !routes.names(in.Service) {
			continue
		}
		v.ids[id] = in
		if old, ok := v.byAddr[in.Addr]; !ok || in.follows(&old) {
			v.byAddr[in.Addr] = in
		}
	}
	for _, in := range v.byAddr {
		g := v.services[in.Service]
		if g == nil {
			g = &group{byDC: map[callgraph.DC][]Instance{}}
			v.services[in.Service] = g
		}
		g.all = append(g.all, in)
		g.byDC[in.DC] = append(g.byDC[in.DC], in)
	}
	return v
}

// follows reports whether an instance is the later one at an address that
// both have: one that is listed, or the one listed later.
func (in *Instance) follows(old *Instance) bool {
	if in.Unlisted != old.Unlisted {
		return old.Unlisted
	}
	return old.Since < in.Since
}

// Start returns which start of the instance this is.
func (in *Instance) Start() Start { return Start{ID: in.ID, At: in.Started} }

// Instances returns the instances of a service, leaving ones included; the
// caller must not change it. Of the instances listed at one address only the
// latest is there: after a loss of power the entries of those that ended stay
// listed for seconds beside the new ones, and every second try would go to an
// instance that is no more.
func (v *View) Instances(service string) []Instance {
	if g := v.services[service]; g != nil {
		return g.all
	}
	return nil
}

// Near returns those of them that are in a data centre.
func (v *View) Near(service string, dc callgraph.DC) []Instance {
	if g := v.services[service]; g != nil {
		return g.byDC[dc]
	}
	return nil
}

// HealthPath returns the path at which the instances of a service answer
// whether they are well; empty if none is known.
func (v *View) HealthPath(service string) string {
	if v.Routes == nil {
		return ""
	}
	s, _ := v.Routes.service(service)
	return s.HealthPath
}

// At returns the instance at an address, the latest where several are listed.
func (v *View) At(addr string) (Instance, bool) {
	in, ok := v.byAddr[addr]
	return in, ok
}

// Find returns the instance with an id.
func (v *View) Find(id InstanceID) (Instance, bool) {
	in, ok := v.ids[id]
	return in, ok
}

// Unlisted returns how many instances are kept though their entries went.
func (v *View) Unlisted() int {
	n := 0
	for _, in := range v.ids {
		if in.Unlisted {
			n++
		}
	}
	return n
}

// All returns every instance known.
func (v *View) All() map[InstanceID]Instance { return v.ids }
