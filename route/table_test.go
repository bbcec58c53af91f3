package route

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// A process restarts on the same VM after its peers saw it leave. It must get
// calls again after draining, unless the VM list shows the instance as leaving.
func TestDrainedInstanceIsPickedAgainUnlessLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := NewTable("halle-nord")
		tb.SetGraph(&callgraph.Graph{Services: map[string]*callgraph.Service{
			"archiv": {Instances: []callgraph.Instance{{Name: "archiv-1", DC: "halle-nord"}}}}})
		picked := func() bool { _, ok := tb.Pick("archiv", nil); return ok }
		Convey("It is skipped while it drains and picked again later", t, func() {
			tb.SetDraining("archiv-1")
			So(picked(), ShouldBeFalse)
			time.Sleep(drainingBackoff)
			So(picked(), ShouldBeTrue)
		})
		Convey("It is skipped for as long as the VM list shows it as leaving", t, func() {
			tb.SetLeaving("archiv-1", true)
			time.Sleep(time.Hour)
			So(picked(), ShouldBeFalse)
			tb.ClearLeaving()
			So(picked(), ShouldBeTrue)
		})
	})
}
