package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/configservice"
	"github.com/oatpin/oatpin/demo"
	"github.com/oatpin/oatpin/examples"
	. "github.com/smartystreets/goconvey/convey"
)

// propagationBound is the time within which an accepted configuration must be
// active at every node.
const propagationBound = 9 * time.Second

// waitVersion polls until every node is at version v or later, for at most
// propagationBound, and returns the nodes that are not.
func waitVersion(m *demo.Mesh, v callgraph.Version) []string {
	deadline := time.Now().Add(propagationBound)
	for {
		var lagging []string
		for name, got := range m.ConfigVersions() {
			if got < v {
				lagging = append(lagging, name)
			}
		}
		if len(lagging) == 0 || time.Now().After(deadline) {
			return lagging
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func withVersion(text []byte, v int) []byte {
	return []byte(strings.Replace(string(text), "version = 1", fmt.Sprintf("version = %d", v), 1))
}

// Guards against an accepted configuration not reaching every node in time,
// against nodes not passing on a newer one while the configuration service is
// down, and against a stale configuration service rolling nodes back.
func TestConfigPropagatesAndNeverRollsBack(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	text := m.Graph.Text

	Convey("An accepted configuration is active at every node within 9 s", t, func() {
		_, err := m.ConfigService.Submit(withVersion(text, 2))
		So(err, ShouldBeNil)
		So(waitVersion(m, 2), ShouldBeEmpty)
	})

	Convey("While the configuration service is down, nodes pass a newer configuration to each other", t, func() {
		m.ConfigService.SetMode(configservice.ModeDown)
		v3, err := callgraph.Parse(withVersion(text, 3))
		So(err, ShouldBeNil)
		So(m.Nodes["archiv-1"].Apply(v3), ShouldBeTrue)
		for i := range 200 {
			in := m.Graph.Services["entwurf"].Instances[i%3]
			resp, err := http.Post("http://"+in.HTTP+"/v1/call/entwurf/publish", "", nil)
			So(err, ShouldBeNil)
			resp.Body.Close()
		}
		So(waitVersion(m, 3), ShouldBeEmpty)
	})

	Convey("A stale configuration service that serves the older configuration rolls no node back", t, func() {
		m.ConfigService.SetMode(configservice.ModeStale)
		time.Sleep(2 * time.Second) // two watch backoffs
		for name, v := range m.ConfigVersions() {
			So(fmt.Sprint(name, v), ShouldEqual, fmt.Sprint(name, 3))
		}
	})
}
