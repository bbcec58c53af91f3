package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// IsolationInstance returns the candidate on which an isolated request runs,
// chosen by rendezvous hashing of the candidates' names so that all nodes
// agree without coordination. The result has one element, or none if there are
// no candidates.
func IsolationInstance[P any](f Fingerprint, candidates []P, name func(P) string) []P {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(f))
	selected, best := 0, uint64(0)
	for i, c := range candidates {
		d := xxhash.New()
		d.Write(key[:])
		d.WriteString(name(c))
		if score := d.Sum64(); i == 0 || score > best {
			selected, best = i, score
		}
	}
	return candidates[min(selected, len(candidates)):min(selected+1, len(candidates))]
}
