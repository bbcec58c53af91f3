package directory

import (
	"net/netip"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/rotisserie/eris"
)

const (
	// maxSlots is more than the connections that an address can have.
	maxSlots = 1 << 20
	// maxStarted is in the year 2248, in milliseconds since the Unix epoch. The clock
	// of this VM is no bound: one that is set to the past would refuse all instances.
	maxStarted UnixMilli = 1 << 43
	// maxNameBytes is more than a key or a name of the source has.
	maxNameBytes = 512
)

// ErrInvalidInstance is wrapped by errors about an instance that no node can use.
var ErrInvalidInstance = eris.New("invalid instance")

type (
	// InstanceID identifies an instance. An instance may keep it across
	// restarts; see Incarnation.
	InstanceID string

	// UnixMilli is a time in milliseconds since the Unix epoch; 0 if the
	// instance does not report it.
	UnixMilli = call.UnixMilli

	// Incarnation identifies one run of an instance. Health and load data belong
	// to a run and are not carried over to the next.
	Incarnation struct {
		ID InstanceID
		At UnixMilli
	}

	// Instance is one running instance of a service.
	Instance struct {
		ID            InstanceID
		Started       UnixMilli
		Service       string
		DC            callgraph.DC
		Addr          string    // host:port, reachable only from its own VM
		Slots         int       // concurrent requests it serves
		Leaving       bool      // takes no new requests
		Unlisted      bool      // its entry was removed although it was not leaving
		Unconfirmed   bool      // unlisted and not confirmed by its node, or doubted after a restore: last resort only
		ColdUntil     time.Time // end of the warm-up after a start; zero if it is warm
		FirstRevision Revision  // revision at which it was first listed
		Revision      Revision  // revision at which its entry last changed
	}

	// serviceGroup holds the instances of one service.
	serviceGroup struct {
		all  []Instance
		byDC map[callgraph.DC][]Instance
	}

	// View is an immutable state of a Directory. It is safe for concurrent use.
	View struct {
		Routes   *Routes // nil if not known yet
		services map[string]*serviceGroup
		byAddr   map[string]Instance
		byID     map[InstanceID]Instance
	}
)

// Validate returns an error that wraps ErrInvalidInstance if the instance has values
// that no instance has, as an entry of another program may.
func (in *Instance) Validate() error {
	for _, name := range []string{string(in.ID), in.Service, string(in.DC)} {
		if name == "" || len(name) > maxNameBytes {
			return eris.Wrap(ErrInvalidInstance, "empty or overlong name")
		}
	}
	switch addr, err := netip.ParseAddrPort(in.Addr); {
	case err != nil || addr.Port() == 0 || addr.Addr().Zone() != "":
		return eris.Wrap(ErrInvalidInstance, "address is not an IP address and a port")
	case addr.Addr().IsUnspecified() || addr.Addr().IsMulticast():
		return eris.Wrap(ErrInvalidInstance, "address is not that of one VM")
	case in.Slots < 1 || in.Slots > maxSlots:
		return eris.Wrapf(ErrInvalidInstance, "%d slots", in.Slots)
	case in.Started < 0 || in.Started > maxStarted:
		return eris.Wrapf(ErrInvalidInstance, "started at %d", in.Started)
	}
	return nil
}

// newView omits instances of services that the routes do not name, because such
// an entry could hide a valid instance at the same address.
func newView(routes *Routes, instances map[InstanceID]Instance) *View {
	v := &View{Routes: routes, services: map[string]*serviceGroup{}, byAddr: map[string]Instance{}, byID: map[InstanceID]Instance{}}
	for id, in := range instances {
		if !routes.hasService(in.Service) {
			continue
		}
		v.byID[id] = in
		if old, ok := v.byAddr[in.Addr]; !ok || in.supersedes(&old) {
			v.byAddr[in.Addr] = in
		}
	}
	for _, in := range v.byAddr {
		g := v.services[in.Service]
		if g == nil {
			g = &serviceGroup{byDC: map[callgraph.DC][]Instance{}}
			v.services[in.Service] = g
		}
		g.all = append(g.all, in)
		g.byDC[in.DC] = append(g.byDC[in.DC], in)
	}
	return v
}

// supersedes reports whether in, at the same address as old, is the current
// one: unconfirmed ones come last, listed entries before unlisted ones, then
// later ones before earlier ones.
func (in *Instance) supersedes(old *Instance) bool {
	if in.Unconfirmed != old.Unconfirmed {
		return old.Unconfirmed
	}
	if in.Unlisted != old.Unlisted {
		return old.Unlisted
	}
	return old.FirstRevision < in.FirstRevision
}

// Incarnation returns the identity of this run of the instance.
func (in *Instance) Incarnation() Incarnation { return Incarnation{ID: in.ID, At: in.Started} }

// Instances returns the instances of a service, including leaving ones. The
// caller must not modify the slice. Only the latest instance at each address is
// included: after a power loss, entries of dead instances stay listed for
// seconds next to the new ones.
func (v *View) Instances(service string) []Instance {
	if g := v.services[service]; g != nil {
		return g.all
	}
	return nil
}

// InstancesInDC returns the instances of a service in one data centre, as
// Instances does.
func (v *View) InstancesInDC(service string, dc callgraph.DC) []Instance {
	if g := v.services[service]; g != nil {
		return g.byDC[dc]
	}
	return nil
}

// HealthPath returns the health check path of the instances of a service; empty
// if there is none.
func (v *View) HealthPath(service string) string {
	if v.Routes == nil {
		return ""
	}
	s, _ := v.Routes.service(service)
	return s.HealthPath
}

// InstanceAt returns the instance at a host:port address, the latest if several
// are listed.
func (v *View) InstanceAt(addr string) (Instance, bool) {
	in, ok := v.byAddr[addr]
	return in, ok
}

// Find returns the instance with an ID.
func (v *View) Find(id InstanceID) (Instance, bool) {
	in, ok := v.byID[id]
	return in, ok
}

// UnlistedCount returns the number of instances that are kept although their
// entries were removed.
func (v *View) UnlistedCount() int {
	n := 0
	for _, in := range v.byID {
		if in.Unlisted {
			n++
		}
	}
	return n
}

// All returns all known instances. The caller must not modify the map.
func (v *View) All() map[InstanceID]Instance { return v.byID }
