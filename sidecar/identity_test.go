package sidecar

import (
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/replication"
	. "github.com/smartystreets/goconvey/convey"
)

// A node that listens on another address than its peers derive for it must
// still recognize itself, or no node would act as reader of the source.
func TestNodeIdentityMatchesPeerAddress(t *testing.T) {
	Convey("It is the address derived from its instance", t, func() {
		lg := &log.Logger{Handler: discard.New()}
		n, err := New(Config{Name: "n", PeerAddr: "0.0.0.0:7620", TargetAddr: "10.1.0.8:8301", Headers: testHeaders, Policies: DefaultPolicies(), Directory: directory.New(directory.DefaultConfig(lg)), Log: lg})
		So(err, ShouldBeNil)
		others, err := n.peerFor(directory.Instance{Addr: "10.1.0.8:8301"})
		So(err, ShouldBeNil)
		So(n.syncer.Self(), ShouldEqual, replication.Addr(others.Addr))
	})
}
