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

// The platform is down and no caller sends anything. One node read a newer
// text just before; and a replaced VM starts with no text at all, knowing
// one other node by its settings. Both the old nodes and the new one must
// hold the newer text within 9 s, in every data centre.
func TestTextSpreadsWithoutPlatformOrCalls(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	Convey("All nodes and a late joiner get the text from each other", t, func() {
		m.Platform.SetMode(configservice.ModeDown)
		v2, err := callgraph.Parse(bump(m.Graph.Text, 2))
		So(err, ShouldBeNil)
		So(m.Nodes["archiv-1"].Apply(v2), ShouldBeTrue)
		joiner := node.New(node.Config{Log: quiet(), Settings: settings.Node{
			Instance: "archiv-7", DC: "halle-west", HTTP: "127.0.0.1:0", Peer: "127.0.0.1:0",
			Target: "http://127.0.0.1:1", Platform: m.PlatformURL,
			Seeds: []string{m.Graph.Services["versand"].Instances[2].HTTP},
		}})
		go joiner.Serve()
		defer joiner.Shutdown(t.Context())
		So(waitVersion(m, 2), ShouldBeEmpty)
		for end := time.Now().Add(inForce); joiner.Graph() == nil && time.Now().Before(end); {
			time.Sleep(50 * time.Millisecond)
		}
		So(joiner.Graph(), ShouldNotBeNil)
		So(joiner.Graph().Version, ShouldEqual, callgraph.Version(2))
	})
}
