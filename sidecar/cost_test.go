package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/admit"
	. "github.com/smartystreets/goconvey/convey"
)

// The target two calls below is short of room. Only the node at which
// requests enter can favour those that take little of it, and it sees neither
// the target nor the calls: what they took comes back with the answers.
func TestChildSlotTimeIsReportedToEntryNode(t *testing.T) {
	m := newMesh(t, "entwurf", "archiv", "versand")
	Convey("A read's cost is the time of its calls at the full target", t, func() {
		full := m.vms[2].node
		for full.meter.Threshold() == admit.Top {
			full.meter.Arrive(2*admit.Parts, time.Minute, 0)
			time.Sleep(10 * time.Millisecond)
		}
		m.vms[2].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			writeSigned(w, r, http.StatusOK, "")
		})
		m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			for _, call := range []string{".c1", ".c2"} {
				m.send(context.Background(), m.vms[1], http.MethodGet, "/lookup/x", "", map[string]string{"Request-Id": r.Header.Get("Request-Id") + call})
			}
			time.Sleep(100 * time.Millisecond)
			writeSigned(w, r, http.StatusOK, "")
		})
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(m.vms[0].node.costs.Mean("read"), ShouldBeBetween, 40*time.Millisecond, 100*time.Millisecond)
	})
}
