package directory

import (
	"time"

	"github.com/oatpin/oatpin/callgraph"
)

type (
	// InstanceID names one start of an instance; the next start at the same
	// address has another.
	InstanceID string

	// Revision orders the changes of a source.
	Revision uint64

	// Instance is one running instance of a service.
	Instance struct {
		ID       InstanceID
		Service  string
		DC       callgraph.DC
		Addr     string // host:port, reachable from its own VM only
		Slots    int    // requests it serves at once
		Leaving  bool   // takes no new requests
		Doubtful bool   // not listed since an outage of the source; only for want of another
		ColdTill time.Time
		Revision Revision
	}

	// View is what a node knows at one moment; it never changes.
	View struct {
		Routes   *Routes // nil while none are known
		services map[string][]Instance
		byAddr   map[string]Instance
		ids      map[InstanceID]Instance
	}
)

func newView(routes *Routes, ids map[InstanceID]Instance) *View {
	v := &View{Routes: routes, services: map[string][]Instance{}, byAddr: map[string]Instance{}, ids: map[InstanceID]Instance{}}
	for id, in := range ids {
		v.ids[id] = in
		v.services[in.Service] = append(v.services[in.Service], in)
		// An address is used again by a later instance, so the entry that
		// changed last tells who is there now.
		if old, ok := v.byAddr[in.Addr]; !ok || old.Revision < in.Revision {
			v.byAddr[in.Addr] = in
		}
	}
	return v
}

// Instances returns the instances of a service, leaving ones included; the
// caller must not change it.
func (v *View) Instances(service string) []Instance { return v.services[service] }

// At returns the instance at an address.
func (v *View) At(addr string) (Instance, bool) {
	in, ok := v.byAddr[addr]
	return in, ok
}

// Find returns the instance with an id.
func (v *View) Find(id InstanceID) (Instance, bool) {
	in, ok := v.ids[id]
	return in, ok
}

// All returns every instance known.
func (v *View) All() map[InstanceID]Instance { return v.ids }
