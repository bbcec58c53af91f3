package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	. "github.com/smartystreets/goconvey/convey"
)

// changeTimeout is how long after the store accepted a change all nodes have to
// act on it.
const changeTimeout = 2 * time.Second

// storedMesh is a mesh whose nodes read a store.
type storedMesh struct {
	*mesh
	store *platform.FakeStore
}

// newStoredMesh starts four nodes of one data centre, two of which read the
// store, and waits until all have the routes.
func newStoredMesh(t *testing.T) *storedMesh {
	store := platform.NewFakeStore()
	store.Services = []directory.Service{{Name: "archiv", HealthPath: "/health"}, {Name: "versand", HealthPath: "/health"}}
	srv := httptest.NewServer(store)
	t.Cleanup(srv.Close)
	m := &storedMesh{store: store, mesh: &mesh{t: t, port: freePort(t)}}
	m.source = platform.NewStore(strings.TrimPrefix(srv.URL, "http://"), &log.Logger{Handler: discard.New()})
	for i, service := range []string{"archiv", "archiv", "archiv", "versand"} {
		v := m.startVM(fmt.Sprintf("127.0.0.%d", i+2), service)
		v.target.health.Store(http.StatusOK)
		m.vms = append(m.vms, v)
		m.must(store.PutInstance(v.self))
	}
	t.Cleanup(m.stop)
	m.publish(1)
	m.awaitVersion(1)
	return m
}

func (m *storedMesh) must(err error) {
	m.t.Helper()
	if err != nil {
		m.t.Fatal(err)
	}
}

// publish writes a version of the test routes, and further ones, to the store.
func (m *storedMesh) publish(v callgraph.Version, further ...directory.Route) {
	m.t.Helper()
	m.must(m.store.PutRoutes(v, directory.Limits{BodyBytes: 1000}, append(further, testRoutes...)))
}

// awaitVersion waits until all nodes have the version and know all instances.
func (m *storedMesh) awaitVersion(v callgraph.Version) {
	m.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		ready := 0
		for _, vm := range m.vms {
			view := vm.dir.View()
			if view.Routes != nil && view.Routes.Version >= v && len(view.All()) == len(m.vms) {
				ready++
			}
		}
		if ready == len(m.vms) {
			return
		}
	}
	m.t.Fatalf("not all nodes have version %d", v)
}

// follower returns a VM of a service whose node does not read the store. Just
// after the start all nodes do.
func (m *storedMesh) follower(service string) *vm {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, v := range m.vms {
			if v.self.Service == service && !v.node.syncer.IsReader() {
				return v
			}
		}
	}
	m.t.Fatalf("all nodes of %s read the store", service)
	return nil
}

// Guards against changes that only some nodes learn of after the store lost its
// latest revisions and assigned them again.
func TestChangesAfterStoreRestoreReachAllNodes(t *testing.T) {
	m := newStoredMesh(t)
	backup := m.store.Backup()
	for v := range callgraph.Version(4) {
		m.publish(v + 2)
	}
	m.awaitVersion(5)
	m.store.Restore(backup)
	time.Sleep(300 * time.Millisecond)
	m.publish(5)
	time.Sleep(300 * time.Millisecond)
	added := testRoutes[0]
	added.Name, added.Prefix = "added", "/added/"
	m.publish(6, added)
	leaving := m.follower("archiv").self
	leaving.Leaving = true
	m.must(m.store.PutInstance(leaving))
	time.Sleep(changeTimeout)
	Convey("Each node serves the added route", t, func() {
		for _, v := range m.vms {
			_, got := m.get(v, "/added/x")
			So(got.err, ShouldBeNil)
			So(got.code, ShouldEqual, http.StatusOK)
		}
	})
	Convey("No node uses the instance that leaves", t, func() {
		for _, v := range m.vms {
			for range 10 {
				_, got := m.get(v, "/read/x")
				So(got.code, ShouldEqual, http.StatusOK)
				So(got.body, ShouldNotEqual, "answer of "+string(leaving.ID))
			}
		}
	})
}

// Guards against refused requests while an instance that registered after the
// backup has not reported to the restored store.
func TestInstanceMissingInBackupStaysInUse(t *testing.T) {
	m := newStoredMesh(t)
	only := m.vms[3]
	m.store.RemoveInstance(only.self.ID)
	backup := m.store.Backup()
	m.must(m.store.PutInstance(only.self))
	m.awaitVersion(1)
	m.store.Restore(backup)
	Convey("Its service is served all the time", t, func() {
		for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
			for _, v := range m.vms {
				_, got := m.get(v, "/lookup/x")
				So(got.err, ShouldBeNil)
				So(got.code, ShouldEqual, http.StatusOK)
			}
		}
	})
}
