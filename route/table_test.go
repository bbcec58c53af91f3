package route

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// archiv-1's process is stopped for a moment and comes back on the same VM.
// Its peers were told that it leaves. They must keep away while it drains
// and send it work again afterwards, or each restart would lose its slots
// for good. One the VM list shows as leaving never gets work again.
func TestDrainedInstanceGetsWorkAgainUnlessListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := NewTable("halle-nord")
		tb.SetGraph(&callgraph.Graph{Services: map[string]*callgraph.Service{
			"archiv": {Instances: []callgraph.Instance{{Name: "archiv-1", DC: "halle-nord"}}}}})
		picked := func() bool { _, ok := tb.Pick("archiv", nil); return ok }
		Convey("It is avoided while it drains and picked again later", t, func() {
			tb.SetDraining("archiv-1")
			So(picked(), ShouldBeFalse)
			time.Sleep(avoidDraining)
			So(picked(), ShouldBeTrue)
		})
		Convey("Once listed as leaving it stays avoided until the list says otherwise", t, func() {
			tb.SetListed("archiv-1", true)
			time.Sleep(time.Hour)
			So(picked(), ShouldBeFalse)
			tb.ClearListed()
			So(picked(), ShouldBeTrue)
		})
	})
}
