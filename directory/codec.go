package directory

import (
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/message"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

type (
	// wireDelta is the msgpack form of a Delta.
	wireDelta struct {
		After     Revision                   `msgpack:"after"`
		Revision  Revision                   `msgpack:"revision"`
		Age       time.Duration              `msgpack:"age"`
		Version   callgraph.Version          `msgpack:"version"` // 0 without routes
		Limits    Limits                     `msgpack:"limits"`
		Services  message.List[Service]      `msgpack:"services"`
		Routes    message.List[Route]        `msgpack:"routes"`
		Instances message.List[wireInstance] `msgpack:"instances"`
		Removed   message.List[Removal]      `msgpack:"gone"`
		// Accounted distinguishes routes with an empty list of accounts from
		// routes that need no account.
		Accounted bool                          `msgpack:"accounted,omitempty"`
		Accounts  message.List[account.Account] `msgpack:"accounts,omitempty"`
		// HeldVersion is the version of the routes that the sender holds, included or
		// not.
		HeldVersion callgraph.Version `msgpack:"held_version,omitempty"`
	}

	// wireInstance is the msgpack form of an Instance. It is an array, so the
	// order of the fields is the wire format; field names would double its
	// size.
	wireInstance struct {
		_msgpack      struct{} `msgpack:",as_array"`
		ID            InstanceID
		Started       UnixMilli
		Service       string
		DC            callgraph.DC
		Addr          string
		Slots         int
		Leaving       bool
		ColdUntil     time.Time
		FirstRevision Revision
		Revision      Revision
	}
)

// Encode returns the msgpack form of a delta.
func Encode(x Delta) ([]byte, error) {
	e := wireDelta{After: x.After, Revision: x.Revision, Age: x.Age, Removed: x.Removed, HeldVersion: x.RoutesVersion}
	for _, in := range x.Instances {
		e.Instances = append(e.Instances, wireInstance{ID: in.ID, Started: in.Started, Service: in.Service, DC: in.DC, Addr: in.Addr,
			Slots: in.Slots, Leaving: in.Leaving, ColdUntil: in.ColdUntil, FirstRevision: in.FirstRevision, Revision: in.Revision})
	}
	if x.Routes != nil {
		e.Version, e.Limits, e.Services = x.Routes.Version, x.Routes.Limits, x.Routes.Services
		for _, rts := range x.Routes.hosts {
			e.Routes = append(e.Routes, rts...)
		}
		if reg := x.Routes.Accounts; reg != nil {
			e.Accounted, e.Accounts = true, reg.All()
		}
	}
	b, err := msgpack.Marshal(e)
	return b, eris.Wrap(err, "encode delta")
}

// Decode parses the output of Encode. Instances that are not valid are named in
// Invalid; a node of the former version may take them for valid. The error wraps
// ErrInvalidRoutes if the routes are invalid.
func Decode(b []byte) (Delta, error) {
	var e wireDelta
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return Delta{}, eris.Wrap(err, "decode delta")
	}
	x := Delta{After: e.After, Removed: e.Removed, Age: e.Age, RoutesVersion: e.HeldVersion, Snapshot: Snapshot{Revision: e.Revision}}
	for _, w := range e.Instances {
		in := Instance{ID: w.ID, Started: w.Started, Service: w.Service, DC: w.DC, Addr: w.Addr,
			Slots: w.Slots, Leaving: w.Leaving, ColdUntil: w.ColdUntil, FirstRevision: w.FirstRevision, Revision: w.Revision}
		if in.Validate() != nil {
			x.Invalid = append(x.Invalid, in.ID)
			continue
		}
		x.Instances = append(x.Instances, in)
	}
	if e.Version == 0 {
		return x, nil
	}
	var err error
	x.Routes, err = e.routes()
	return x, err
}

// routes builds and validates the routes of the message.
func (e *wireDelta) routes() (*Routes, error) {
	r, err := NewRoutes(e.Version, e.Limits, e.Routes)
	if err != nil {
		return nil, err
	}
	r.Services = e.Services
	if e.Accounted {
		if r.Accounts, err = account.NewRegistry(e.Accounts); err != nil {
			return nil, eris.Wrap(ErrInvalidRoutes, err.Error())
		}
	}
	return r, nil
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (e *wireInstance) DecodeMsgpack(d *msgpack.Decoder) error {
	*e = wireInstance{}
	return message.DecodeArray(d, (*string)(&e.ID), (*int64)(&e.Started), &e.Service, (*string)(&e.DC), &e.Addr, &e.Slots,
		&e.Leaving, &e.ColdUntil, (*uint64)(&e.FirstRevision), (*uint64)(&e.Revision))
}
