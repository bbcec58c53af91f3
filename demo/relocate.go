package demo

import (
	"bytes"
	"net"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// relocate binds two fresh loopback listeners for every instance section of
// text and returns the text rewritten with their addresses, with the
// listeners by instance name. The listeners stay open and are handed to the
// nodes, so no other socket can take a port between choosing and serving.
func relocate(text []byte) ([]byte, map[string][2]net.Listener, error) {
	f, err := ini.Load(text)
	if err != nil {
		return nil, nil, eris.Wrap(err, "relocate")
	}
	bound := map[string][2]net.Listener{}
	for _, s := range f.Sections() {
		_, name, ok := strings.Cut(s.Name(), ".instance.")
		if !ok {
			continue
		}
		var pair [2]net.Listener
		for i, key := range []string{"http", "peer"} {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				closeBound(bound)
				return nil, nil, eris.Wrap(err, "relocate")
			}
			pair[i] = l
			s.Key(key).SetValue(l.Addr().String())
		}
		bound[name] = pair
	}
	var b bytes.Buffer
	if _, err := f.WriteTo(&b); err != nil {
		closeBound(bound)
		return nil, nil, eris.Wrap(err, "relocate")
	}
	return b.Bytes(), bound, nil
}

func closeBound(bound map[string][2]net.Listener) {
	for _, pair := range bound {
		for _, l := range pair {
			if l != nil {
				l.Close()
			}
		}
	}
}
