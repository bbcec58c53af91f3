package sidecar

import (
	"net/http"
	"strings"

	"github.com/oatpin/oatpin/call"
)

// hopByHop lists the hop-by-hop headers, which are not forwarded.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// headerSet is a set of header names.
type headerSet map[string]bool

// responseDropHeaders are not copied from the target's response; writeAnswer
// sets Content-Length.
var responseDropHeaders = headerSet{"Content-Length": true}

// newDropHeaders returns the headers that are not copied from the caller's
// request, including the key and account headers if accounts is set.
func newDropHeaders(headers call.Headers, accounts bool) headerSet {
	drop := headerSet{headers.Deadline: true, headers.ExpectedInstance: true, headers.CallerService: true,
		"Content-Length": true, "Host": true, "Expect": true}
	if accounts {
		drop[headers.APIKey], drop[headers.Account] = true, true
	}
	return drop
}

// forwardedFields returns the headers to be forwarded to the target.
func (n *Node) forwardedFields(h http.Header, accounts bool) []call.Field {
	if accounts {
		return endToEnd(h, n.dropHeadersWithAccounts)
	}
	return endToEnd(h, n.dropHeaders)
}

// endToEnd returns the end-to-end headers of h, except those in drop.
func endToEnd(h http.Header, drop headerSet) []call.Field {
	connection := h["Connection"]
	fs := make([]call.Field, 0, len(h))
	for name, values := range h {
		if drop[name] || isHopByHop(name, connection) {
			continue
		}
		for _, v := range values {
			fs = append(fs, call.Field{Name: name, Value: v})
		}
	}
	return fs
}

func isHopByHop(name string, connection []string) bool {
	for _, h := range hopByHop {
		if name == h {
			return true
		}
	}
	for _, line := range connection {
		for _, token := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(token), name) {
				return true
			}
		}
	}
	return false
}
