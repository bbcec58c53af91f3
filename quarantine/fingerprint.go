package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
)

// Fingerprint is a hash of what a request asks for: its method, host, path and
// query, and body. Each try of a caller has an id of its own, and headers of
// its own; the Fingerprint is what they have in common.
type Fingerprint uint64

// FingerprintOf returns the Fingerprint of a request by route.
func FingerprintOf(r *call.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.HTTP.Method, r.HTTP.Host, r.HTTP.URI} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// String writes a Fingerprint as log lines have it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
