package answer

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	minStatus = 100
	maxStatus = 599
)

// ErrMalformed means that the head of an answer is invalid in HTTP/1.
var ErrMalformed = eris.New("malformed answer")

// CheckHead returns an error that wraps ErrMalformed if resp, as the library has read it,
// has an invalid version, status or field name. The library takes any number of three
// characters as a status, and any version. Status 101 answers a request to switch
// protocols, and no such request is sent. Of invalid field names the library takes those
// with a space and does not recognize the field: a length or an encoding of the body is
// ignored.
func CheckHead(resp *http.Response) error {
	code := resp.StatusCode
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %s", ErrMalformed, resp.Proto)
	}
	if code < minStatus || code > maxStatus || code == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	for name := range resp.Header {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: field name %q", ErrMalformed, name)
		}
	}
	return nil
}
