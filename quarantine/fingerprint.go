package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
)

// Fingerprint is a hash of a request's content: its method, host, URI and body.
// It is the same for all retries, whose IDs and headers differ.
type Fingerprint uint64

// FingerprintOf returns the Fingerprint of a routed request.
func FingerprintOf(r *call.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.HTTP.Method, r.HTTP.Host, r.HTTP.URI} {
		d.WriteString(part)
		d.Write([]byte{0})
	}
	d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// String returns the Fingerprint in hexadecimal, as used in logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }
