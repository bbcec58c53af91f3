package sidecar

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/directory"
	. "github.com/smartystreets/goconvey/convey"
)

// fakeSource is a directory source with a fixed result of Listed.
type fakeSource struct {
	directory.Source
	mu     sync.Mutex
	listed bool
	err    error
}

func (f *fakeSource) Listed(context.Context, directory.InstanceID) (bool, directory.Era, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed, 0, f.err
}

func (f *fakeSource) set(listed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.err = listed, err
}

// setHealth makes the target answer health checks with a status code.
func (v *vm) setHealth(code int) {
	v.target.health.Store(int64(code))
}

// removeEntry removes v's instance from the directories of all nodes.
func (m *mesh) removeEntry(v *vm, at directory.Revision) {
	for _, o := range m.vms {
		o.dir.Apply([]directory.Change{{Removed: v.self.ID, RemovedAt: at}}, at)
	}
}

// The directory entry of a healthy instance expires because its VM cannot
// reach the source. Dropping the only instance of a service would fail all
// requests that depend on it, so its node vouches for it.
func TestVouchedInstanceStaysInUse(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	source := &fakeSource{}
	m.vms[1].node.cfg.Source = source
	read := func() int {
		_, got := m.get(m.vms[0], "/read/x")
		return got.code
	}
	in := func() directory.Instance {
		in, _ := m.vms[0].dir.View().Find(m.vms[1].self.ID)
		return in
	}
	settle := func() {
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			m.vms[0].dir.ExpireUnlisted()
		}
	}
	Convey("Given an expired entry of a live instance", t, func() {
		m.vms[1].setHealth(http.StatusOK)
		source.set(false, errors.New("no answer"))
		So(read(), ShouldEqual, http.StatusOK)
		m.removeEntry(m.vms[1], 2)
		settle()
		Convey("Its node vouches for it, and it stays in use", func() {
			So(in().Unlisted, ShouldBeTrue)
			So(in().Unconfirmed, ShouldBeFalse)
			So(read(), ShouldEqual, http.StatusOK)
			settle()
			So(in().Unconfirmed, ShouldBeFalse)
			Convey("Until it drains, although the source does not answer", func() {
				m.vms[1].setHealth(http.StatusServiceUnavailable)
				settle()
				settle()
				So(read(), ShouldEqual, http.StatusServiceUnavailable)
				So(in().ID, ShouldBeEmpty)
			})
		})
	})
}

// An instance is removed from the directory while the source answers. Its
// node must not vouch for it, or it would receive requests until it exits.
func TestRemovedInstanceIsNotVouchedFor(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("It is dropped once its node has been queried", t, func() {
		source := &fakeSource{}
		m.vms[1].node.cfg.Source = source
		m.vms[1].setHealth(http.StatusOK)
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		m.removeEntry(m.vms[1], 2)
		time.Sleep(300 * time.Millisecond)
		_, known := m.vms[0].dir.View().Find(m.vms[1].self.ID)
		So(known, ShouldBeFalse)
		_, known = m.vms[1].dir.View().Find(m.vms[1].self.ID)
		So(known, ShouldBeFalse)
	})
}
