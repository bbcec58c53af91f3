package sidecar

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/oatpin/oatpin/admit"
	. "github.com/smartystreets/goconvey/convey"
)

// Admission by cost happens at the entry node, which sees neither the
// overloaded target nor the child requests. The slot time must be returned
// with the responses.
func TestChildSlotTimeIsReportedToEntryNode(t *testing.T) {
	m := newMesh(t, "entwurf", "archiv", "versand")
	Convey("The cost of a read is the slot time of its child requests at the overloaded target", t, func() {
		overloaded := m.vms[2].node
		for overloaded.meter.Threshold() == admit.MaxLevel {
			overloaded.meter.RecordArrival(2*admit.LevelsPerRank, time.Minute, 0)
			time.Sleep(10 * time.Millisecond)
		}
		m.vms[2].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(20 * time.Millisecond)
			writeSigned(w, r, http.StatusOK, "")
		})
		m.vms[1].target.handleWith(func(w http.ResponseWriter, r *http.Request) {
			for _, suffix := range []string{".c1", ".c2"} {
				m.send(context.Background(), m.vms[1], http.MethodGet, "/lookup/x", "", map[string]string{"Request-Id": r.Header.Get("Request-Id") + suffix})
			}
			time.Sleep(100 * time.Millisecond)
			writeSigned(w, r, http.StatusOK, "")
		})
		_, got := m.get(m.vms[0], "/read/x")
		So(got.code, ShouldEqual, http.StatusOK)
		So(m.vms[0].node.costs.Mean("read"), ShouldBeBetween, 40*time.Millisecond, 100*time.Millisecond)
	})
}
