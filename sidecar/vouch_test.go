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

// fakeList is what the source answers to one node's questions for entries.
type fakeSource struct {
	directory.Source
	mu     sync.Mutex
	listed bool
	err    error
}

func (f *fakeSource) Listed(context.Context, directory.InstanceID) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed, f.err
}

func (f *fakeSource) set(listed bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed, f.err = listed, err
}

// healthy lets a target answer health checks, and everything else as usual.
func (v *vm) setHealth(code int) {
	v.target.health.Store(int64(code))
}

// takeOff removes v's entry from what every node knows.
func (m *mesh) removeEntry(v *vm, at directory.Revision) {
	for _, o := range m.vms {
		o.dir.Apply([]directory.Change{{Gone: v.self.ID, GoneAt: at}}, at)
	}
}

// A VM is cut off from the store for ten seconds and reachable for everyone
// else. Its instance's entry lapses. The instance is the only one of its
// service, lives and answers; dropping it refuses every request that needs
// the service, and all chains above it.
func TestVouchedInstanceStaysInUse(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	list := &fakeSource{}
	m.vms[1].node.cfg.Source = list
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
			m.vms[0].dir.Settle()
		}
	}
	Convey("Given a lapsed entry of a live instance", t, func() {
		m.vms[1].setHealth(http.StatusOK)
		list.set(false, errors.New("no answer"))
		So(read(), ShouldEqual, http.StatusOK)
		m.removeEntry(m.vms[1], 2)
		settle()
		Convey("Its node vouches for it, and it is used like a listed one", func() {
			So(in().Unlisted, ShouldBeTrue)
			So(in().Doubtful, ShouldBeFalse)
			So(read(), ShouldEqual, http.StatusOK)
			settle()
			So(in().Doubtful, ShouldBeFalse)
			Convey("Until it drains, though the store still does not answer", func() {
				m.vms[1].setHealth(http.StatusServiceUnavailable)
				settle()
				settle()
				So(read(), ShouldEqual, http.StatusServiceUnavailable)
				So(in().ID, ShouldBeEmpty)
			})
		})
	})
}

// An instance leaves without a word: its entry goes while the store answers
// everyone. Its node must not hold it, or it gets requests until it ends and
// cuts them off.
func TestRemovedInstanceIsNotVouchedFor(t *testing.T) {
	m := newMesh(t, "versand", "archiv")
	Convey("It is gone as soon as its node was asked", t, func() {
		list := &fakeSource{}
		m.vms[1].node.cfg.Source = list
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
