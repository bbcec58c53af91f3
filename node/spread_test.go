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

// inForce is the letter's bound for a text to be in force everywhere.
const inForce = 9 * time.Second

// waitVersion polls until every node holds version v or the bound passes,
// and returns the nodes that do not.
func waitVersion(m *demo.Mesh, v callgraph.Version) []string {
	deadline := time.Now().Add(inForce)
	for {
		var behind []string
		for name, got := range m.Versions() {
			if got < v {
				behind = append(behind, name)
			}
		}
		if len(behind) == 0 || time.Now().After(deadline) {
			return behind
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func bump(text []byte, v int) []byte {
	return []byte(strings.Replace(string(text), "version = 1", fmt.Sprintf("version = %d", v), 1))
}

// An operator submits a new text. It must be in force at every node within
// the letter's 9 s. Then the platform goes down and a newer text reaches
// only one node (as when a node read it just before the outage): the
// nodes must pass it among themselves as they call each other. Last the
// platform turns stale and serves the older text: no node may go back.
func TestAcceptedTextSpreadsAndNeverGoesBack(t *testing.T) {
	m := startMesh(t, examples.KesslerRaab)
	text := m.Graph.Text

	Convey("An accepted text is in force at every node within 9 s", t, func() {
		_, err := m.Platform.Submit(bump(text, 2))
		So(err, ShouldBeNil)
		So(waitVersion(m, 2), ShouldBeEmpty)
	})

	Convey("While the platform is down, nodes pass a newer text to each other", t, func() {
		m.Platform.SetMode(configservice.ModeDown)
		v3, err := callgraph.Parse(bump(text, 3))
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

	Convey("A stale platform serving the older text moves no node back", t, func() {
		m.Platform.SetMode(configservice.ModeStale)
		time.Sleep(2 * time.Second) // two watch backoffs
		for name, v := range m.Versions() {
			So(fmt.Sprint(name, v), ShouldEqual, fmt.Sprint(name, 3))
		}
	})
}
