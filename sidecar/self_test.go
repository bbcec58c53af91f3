package sidecar

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/membership"
	. "github.com/smartystreets/goconvey/convey"
)

// Nodes listen for each other at any address of their VMs, or at another than
// their targets. Nobody notices until an instance is replaced: then nobody
// hears of the new one, for minutes, as no node takes itself for one of those
// that are to read the store.
func TestNodeIdentityMatchesPeerAddress(t *testing.T) {
	Convey("It is the one that they work out from the instance beside it", t, func() {
		lg := &log.Logger{Handler: discard.New()}
		n, err := New(Config{Name: "n", Peer: "0.0.0.0:7620", Target: "10.1.0.8:8301", Headers: testHeaders, Policies: Usual(), Directory: directory.New(directory.Usual(lg)), Log: lg})
		So(err, ShouldBeNil)
		others, err := n.peerFor(directory.Instance{Addr: "10.1.0.8:8301"})
		So(err, ShouldBeNil)
		So(n.member.Self(), ShouldEqual, membership.Addr(others.Addr))
	})
}
