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

func versand(version callgraph.Version, instances ...callgraph.Instance) *callgraph.Graph {
	return &callgraph.Graph{Version: version, Accepted: time.Now(),
		Services: map[string]*callgraph.Service{"versand": {Name: "versand", Instances: instances}}}
}

// book returns the book of instance name, its process just started under g
// and the VM list read.
func book(name string, g *callgraph.Graph) *owner.Book {
	b := owner.NewBook(owner.Config{Instance: name, Window: window})
	b.SetGraph(g)
	b.Confirm()
	return b
}

// keyNow returns the n-th key made now. call.NewKey never goes back in time,
// but each synctest bubble starts at the same moment.
func keyNow(home string, n uint64) call.Key {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[8:], n)
	binary.BigEndian.PutUint64(u[:8], uint64(time.Now().UnixMilli())<<16)
	u[6], u[8] = 0x70, 0x80
	return call.Key(home + "." + u.String())
}

// keyOf makes keys until one ranks the named instance first.
func keyOf(name string, instances []callgraph.Instance) call.Key {
	for n := uint64(0); ; n++ {
		k := keyNow("nord", n)
		if owner.Rank(instances, k)[0].Name == name {
			return k
		}
	}
}

// A new text adds versand-2 and moves a key to it. 8 s later a router and
// versand-1 still hold the old text: a publication made now runs at
// versand-1 and its answer is lost. The client's next try reaches versand-2
// through a router with the new text: it must not run there.
func TestKeyIsNotRunTwiceAroundANewText(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v1 := versand(1, pool[0])
		one, two := book("versand-1", v1), book("versand-2", v1)
		time.Sleep(time.Minute)
		v2 := versand(2, pool[0], pool[1])
		two.SetGraph(v2)
		time.Sleep(8 * time.Second)
		key := keyOf("versand-2", pool[:2])
		late := keyOf("versand-2", pool[:2])
		Convey("Only the instance that had the key under both texts may run it", t, func() {
			So(one.Claim("versand", key, nil), ShouldEqual, owner.Run)
			So(two.Claim("versand", key, nil), ShouldEqual, owner.Decline)
		})
		Convey("Once versand-1 holds the new text it runs the key only after versand-2 declined it", t, func() {
			one.SetGraph(v2)
			So(one.Claim("versand", late, nil), ShouldEqual, owner.Decline)
			So(one.Claim("versand", late, []string{"versand-2"}), ShouldEqual, owner.Run)
		})
		time.Sleep(owner.Settle)
		Convey("A key made once the old text is gone everywhere is versand-2's", t, func() {
			So(two.Claim("versand", keyOf("versand-2", pool[:2]), nil), ShouldEqual, owner.Run)
		})
	})
}

// versand-1's VM is listed as leaving and others took over its keys. Its
// process is restarted and, before it has read the list, a router that has
// not read it either sends it a publication. It must leave it to the others.
func TestRestartOnALeavingVMDeclinesKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := owner.NewBook(owner.Config{Instance: "versand-1", Window: window})
		b.SetGraph(versand(1, pool[0]))
		time.Sleep(time.Second)
		Convey("Keys are declined until the VM list has been read", t, func() {
			So(b.Claim("versand", keyNow("nord", 1), nil), ShouldEqual, owner.Decline)
			b.Confirm()
			So(b.Claim("versand", keyNow("nord", 1), nil), ShouldEqual, owner.Run)
		})
	})
}

// A process is killed after its target ran a publication; the client sends
// it again to the new process. A key older than the window was forgotten,
// and one from the future cannot be dated against the process at all.
func TestUndatableKeysAreInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := keyNow("nord", 1)
		time.Sleep(time.Second)
		b := book("versand-1", versand(1, pool[0]))
		time.Sleep(time.Second)
		key := keyNow("nord", 1)
		Convey("Only a key made since the process began runs", t, func() {
			So(b.Claim("versand", before, nil), ShouldEqual, owner.Doubt)
			So(b.Claim("versand", "nord.not-a-uuid", nil), ShouldEqual, owner.Doubt)
			So(b.Claim("versand", "nord.7fffffff-ffff-7000-8000-000000000000", nil), ShouldEqual, owner.Doubt)
			So(b.Claim("versand", key, nil), ShouldEqual, owner.Run)
		})
		time.Sleep(window)
		Convey("And only while the window remembers it", t, func() {
			So(b.Claim("versand", key, nil), ShouldEqual, owner.Doubt)
		})
	})
}
