package demo

import (
	"bytes"
	"net"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"
)

// Relocate returns text with every instance's http and peer address moved to
// a loopback port that was free a moment ago, so that several meshes (tests,
// a demo beside a running one) do not collide. The ports are found by
// listening on port 0 and closing; another process could take one in between,
// and Start then fails with the address in use.
func Relocate(text []byte) ([]byte, error) {
	f, err := ini.Load(text)
	if err != nil {
		return nil, eris.Wrap(err, "relocate")
	}
	for _, s := range f.Sections() {
		if !strings.Contains(s.Name(), ".instance.") {
			continue
		}
		for _, key := range []string{"http", "peer"} {
			addr, err := freePort()
			if err != nil {
				return nil, err
			}
			s.Key(key).SetValue(addr)
		}
	}
	var b bytes.Buffer
	if _, err := f.WriteTo(&b); err != nil {
		return nil, eris.Wrap(err, "relocate")
	}
	return b.Bytes(), nil
}

// freePort returns a loopback address whose port the kernel just handed out
// and was then released; the target's port (HTTP port plus an offset) is not
// checked here.
func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "find a free port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}
