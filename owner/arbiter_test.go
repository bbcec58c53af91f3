package owner_test

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/owner"
	. "github.com/smartystreets/goconvey/convey"
)

func newGraph(version callgraph.Version, instances ...callgraph.Instance) *callgraph.Graph {
	return &callgraph.Graph{Version: version, AcceptedAt: time.Now(),
		Services: map[string]*callgraph.Service{"versand": {Name: "versand", Instances: instances}}}
}

// newArbiter returns the Arbiter of an instance whose process has just started
// under g and has read the VM list.
func newArbiter(name string, g *callgraph.Graph) *owner.Arbiter {
	a := owner.NewArbiter(owner.Config{Instance: name, DedupWindow: window})
	a.SetGraph(g)
	a.SetVMListRead()
	return a
}

// keyNow returns the n-th key made at the current time. Unlike call.NewKey, it
// follows a synctest clock that starts at the same time in each bubble.
func keyNow(homeDC string, n uint64) call.Key {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[8:], n)
	binary.BigEndian.PutUint64(u[:8], uint64(time.Now().UnixMilli())<<16)
	u[6], u[8] = 0x70, 0x80
	return call.Key(homeDC + "." + u.String())
}

// keyRankedFirst returns a key for which the named instance ranks first.
func keyRankedFirst(name string, instances []callgraph.Instance) call.Key {
	for n := uint64(0); ; n++ {
		k := keyNow("nord", n)
		if owner.Rank(instances, k)[0].Name == name {
			return k
		}
	}
}

// A new graph moves a key to another instance while a router and the old owner
// still use the previous one. The retry that reaches the new owner must not
// run.
func TestKeyRunsOnceAcrossGraphChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v1 := newGraph(1, pool[0])
		one, two := newArbiter("versand-1", v1), newArbiter("versand-2", v1)
		time.Sleep(time.Minute)
		v2 := newGraph(2, pool[0], pool[1])
		two.SetGraph(v2)
		time.Sleep(8 * time.Second)
		key := keyRankedFirst("versand-2", pool[:2])
		later := keyRankedFirst("versand-2", pool[:2])
		Convey("Only the instance that owns the key under both graphs may run it", t, func() {
			So(one.Claim("versand", key, nil), ShouldEqual, owner.Run)
			So(two.Claim("versand", key, nil), ShouldEqual, owner.Decline)
		})
		Convey("With the new graph, versand-1 runs the key only after versand-2 declined it", t, func() {
			one.SetGraph(v2)
			So(one.Claim("versand", later, nil), ShouldEqual, owner.Decline)
			So(one.Claim("versand", later, []string{"versand-2"}), ShouldEqual, owner.Run)
		})
		time.Sleep(owner.PropagationDelay)
		Convey("A key made once no router uses the old graph runs at versand-2", t, func() {
			So(two.Claim("versand", keyRankedFirst("versand-2", pool[:2]), nil), ShouldEqual, owner.Run)
		})
	})
}

// An instance on a leaving VM restarts after others took over its keys. Until
// it has read the VM list, it must not run a key from a stale router.
func TestRestartOnLeavingVMDeclinesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := owner.NewArbiter(owner.Config{Instance: "versand-1", DedupWindow: window})
		a.SetGraph(newGraph(1, pool[0]))
		time.Sleep(time.Second)
		Convey("Keys are declined until the VM list has been read", t, func() {
			So(a.Claim("versand", keyNow("nord", 1), nil), ShouldEqual, owner.Decline)
			a.SetVMListRead()
			So(a.Claim("versand", keyNow("nord", 1), nil), ShouldEqual, owner.Run)
		})
	})
}

// A key made before the process started, longer ago than the dedup window or in
// the future must not run, since an earlier run may have been forgotten.
func TestKeysOfUncertainAgeAreNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := keyNow("nord", 1)
		time.Sleep(time.Second)
		a := newArbiter("versand-1", newGraph(1, pool[0]))
		time.Sleep(time.Second)
		key := keyNow("nord", 1)
		Convey("Only a key made since the process started runs", t, func() {
			So(a.Claim("versand", before, nil), ShouldEqual, owner.Uncertain)
			So(a.Claim("versand", "nord.not-a-uuid", nil), ShouldEqual, owner.Uncertain)
			So(a.Claim("versand", "nord.7fffffff-ffff-7000-8000-000000000000", nil), ShouldEqual, owner.Uncertain)
			So(a.Claim("versand", key, nil), ShouldEqual, owner.Run)
		})
		time.Sleep(window)
		Convey("The key no longer runs once it is older than the dedup window", t, func() {
			So(a.Claim("versand", key, nil), ShouldEqual, owner.Uncertain)
		})
	})
}
