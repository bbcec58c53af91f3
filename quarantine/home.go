package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Home returns the one of several places at which a request runs while it is
// isolated, by rendezvous hash of their names: all nodes choose the same
// without asking each other. It is empty for none.
func Home[P any](f Fingerprint, places []P, name func(P) string) []P {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(f))
	home, best := 0, uint64(0)
	for i, p := range places {
		d := xxhash.New()
		d.Write(key[:])
		d.WriteString(name(p))
		if score := d.Sum64(); i == 0 || score > best {
			home, best = i, score
		}
	}
	return places[min(home, len(places)):min(home+1, len(places))]
}
