package demo

import (
	"bytes"
	"net"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// assignPorts opens an HTTP and a peer listener on free loopback ports for every
// instance section of text. It returns the configuration with their addresses,
// and the listeners by instance name. They stay open for use by the nodes, so
// that no other socket can take a port in the meantime.
func assignPorts(text []byte) ([]byte, map[string][2]net.Listener, error) {
	f, err := ini.Load(text)
	if err != nil {
		return nil, nil, eris.Wrap(err, "parse configuration")
	}
	listeners := map[string][2]net.Listener{}
	for _, s := range f.Sections() {
		_, name, ok := strings.Cut(s.Name(), ".instance.")
		if !ok {
			continue
		}
		var pair [2]net.Listener
		for i, key := range []string{"http", "peer"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				closeListeners(listeners)
				return nil, nil, eris.Wrap(err, "listen on a free loopback port")
			}
			pair[i] = l
			s.Key(key).SetValue(l.Addr().String())
		}
		listeners[name] = pair
	}
	var b bytes.Buffer
	if _, err := f.WriteTo(&b); err != nil {
		closeListeners(listeners)
		return nil, nil, eris.Wrap(err, "write configuration")
	}
	return b.Bytes(), listeners, nil
}

func closeListeners(listeners map[string][2]net.Listener) {
	for _, pair := range listeners {
		for _, l := range pair {
			if l != nil {
				l.Close()
			}
		}
	}
}
