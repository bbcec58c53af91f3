package sidecar

import (
	"net/http"
	"strings"

	"github.com/oatpin/oatpin/call"
)

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// fields returns the headers that go on to the target; those that a node
// sets itself are left out.
func (n *Node) fields(h http.Header) []call.Field {
	drop := map[string]bool{n.cfg.Headers.Deadline: true, n.cfg.Headers.ExpectedInstance: true,
		n.cfg.Headers.CallerService: true, "Content-Length": true, "Host": true, "Expect": true}
	return endToEnd(h, drop)
}

// endToEnd returns the headers of h that do not concern one connection only.
func endToEnd(h http.Header, drop map[string]bool) []call.Field {
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
