package directory

import (
	"github.com/oatpin/oatpin/callgraph"
	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
)

// encoded is a Snapshot between nodes.
type encoded struct {
	Revision  Revision          `msgpack:"revision"`
	Version   callgraph.Version `msgpack:"version"` // 0 when no routes are known
	Limits    Limits            `msgpack:"limits"`
	Services  []Service         `msgpack:"services"`
	Routes    []Route           `msgpack:"routes"`
	Instances []Instance        `msgpack:"instances"`
}

// Encode returns a snapshot as msgpack.
func Encode(s Snapshot) ([]byte, error) {
	e := encoded{Revision: s.Revision, Instances: s.Instances}
	if s.Routes != nil {
		e.Version, e.Limits, e.Services = s.Routes.Version, s.Routes.Limits, s.Routes.Services
		for _, rts := range s.Routes.hosts {
			e.Routes = append(e.Routes, rts...)
		}
	}
	b, err := msgpack.Marshal(e)
	return b, eris.Wrap(err, "encode snapshot")
}

// Decode reads what Encode wrote; routes that do not hold together are an
// error that wraps ErrInvalidRoutes.
func Decode(b []byte) (Snapshot, error) {
	var e encoded
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return Snapshot{}, eris.Wrap(err, "decode snapshot")
	}
	s := Snapshot{Revision: e.Revision, Instances: e.Instances}
	if e.Version == 0 {
		return s, nil
	}
	var err error
	if s.Routes, err = NewRoutes(e.Version, e.Limits, e.Routes); err == nil {
		s.Routes.Services = e.Services
	}
	return s, err
}
