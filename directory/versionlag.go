package directory

import (
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/callgraph"
)

// maxVersionLag is how long a node may hold an older version of the routes than
// another one before this is logged: a change is to be active everywhere within
// that time.
const maxVersionLag = 2 * time.Second

// versionLag compares the routes held here with the versions that other nodes
// state.
type versionLag struct {
	newest callgraph.Version // newest version that another node stated
	since  time.Time         // when it was first stated while an older one was held; zero if not behind
	logged bool
}

// record takes note of the version that another node holds.
func (l *versionLag) record(stated, held callgraph.Version, now time.Time) {
	l.newest = max(l.newest, stated)
	if l.newest > held && l.since.IsZero() {
		l.since = now
	}
}

// check logs once when the routes held here have been older than another node's
// for maxVersionLag, and once when they no longer are.
func (l *versionLag) check(held callgraph.Version, now time.Time, to log.Interface) {
	if l.newest <= held {
		if l.logged {
			to.WithFields(log.Fields{"version": held, "behind_ms": now.Sub(l.since).Milliseconds()}).Info("routes_caught_up")
		}
		l.since, l.logged = time.Time{}, false
		return
	}
	if !l.logged && now.Sub(l.since) >= maxVersionLag {
		l.logged = true
		to.WithFields(log.Fields{"version": held, "newest": l.newest, "behind_ms": now.Sub(l.since).Milliseconds()}).Warn("routes_behind")
	}
}

// routesVersion returns the version of the routes held here; 0 for none.
func (d *Directory) routesVersion() callgraph.Version {
	if d.routes == nil {
		return 0
	}
	return d.routes.Version
}

// NewestVersion returns the newest version of the routes that this node or one
// that it asked holds; 0 for none. It is safe for concurrent use.
func (d *Directory) NewestVersion() callgraph.Version {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(d.lag.newest, d.routesVersion())
}
