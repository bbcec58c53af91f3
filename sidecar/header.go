package sidecar

import (
	"net/http"
	"strings"

	"github.com/oatpin/oatpin/call"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// ownFields are the names of headers that do not go on to the target.
type ownFields map[string]bool

// lengthField is set anew for each body.
var lengthField = ownFields{"Content-Length": true}

// newOwnFields returns the headers that a node sets itself or keeps; with
// accounts those besides that say whose request it is.
func newOwnFields(names call.Headers, accounts bool) ownFields {
	own := ownFields{names.Deadline: true, names.ExpectedInstance: true, names.CallerService: true,
		"Content-Length": true, "Host": true, "Expect": true}
	if accounts {
		own[names.Key], own[names.Account] = true, true
	}
	return own
}

// fields returns the headers that go on to the target.
func (n *Node) fields(h http.Header, accounts bool) []call.Field {
	if accounts {
		return endToEnd(h, n.ownWithAccounts)
	}
	return endToEnd(h, n.own)
}

// endToEnd returns the headers of h that do not concern one connection only.
func endToEnd(h http.Header, drop ownFields) []call.Field {
	named := h["Connection"]
	fs := make([]call.Field, 0, len(h))
	for name, values := range h {
		if drop[name] || isHopByHop(name, named) {
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
