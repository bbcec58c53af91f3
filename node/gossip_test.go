package node_test

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/examples"
	"github.com/oatpin/oatpin/node"
	"github.com/oatpin/oatpin/settings"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a configuration held by one node not reaching the others, or
// a new node that only knows a seed, within the propagation bound while the
// configuration service is down and there are no calls.
func TestGossipWithoutConfigServiceOrCalls(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("All nodes and a late joiner get the configuration from each other", t, func() {
		m.ConfigService.SetMode(configservice.ModeDown)
		v2, err := callgraph.Parse(withVersion(m.Graph.Text, 2))
		So(err, ShouldBeNil)
		So(m.Nodes["archiv-1"].Apply(v2), ShouldBeTrue)
		joiner := node.New(node.Config{Log: discardLogger(), Settings: settings.Node{
			Instance: "archiv-7", DC: "halle-west", HTTP: "127.0.0.1:0", Peer: "127.0.0.1:0",
			Target: "http://127.0.0.1:1", ConfigServiceURL: m.ConfigServiceURL,
			Seeds: []string{m.Graph.Services["versand"].Instances[2].HTTP},
		}})
		go joiner.Serve()
		defer joiner.Shutdown(t.Context())
		So(waitVersion(m, 2), ShouldBeEmpty)
		for end := time.Now().Add(propagationBound); joiner.Graph() == nil && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		So(joiner.Graph(), ShouldNotBeNil)
		So(joiner.Graph().Version, ShouldEqual, callgraph.Version(2))
	})
}
