package directory

import (
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an instance that has stated that it leaves and is used again
// because the source still lists it, or lists it again.
func TestStatedLeavingOutlastsListing(t *testing.T) {
	Convey("A run that has stated that it leaves stays leaving", t, func() {
		d := New(DefaultConfig(&log.Logger{Handler: discard.New()}))
		r, err := NewRoutes(1, Limits{}, []Route{{Name: "r", Host: "h", Prefix: "/", MaxInstances: 1, Shares: []Share{{Service: "s", Weight: 1}}}})
		So(err, ShouldBeNil)
		in := Instance{ID: "i", Started: 5, Service: "s", DC: "nord", Addr: "10.0.0.1:1", Slots: 1, Revision: 1}
		leaving := func() bool {
			found, ok := d.View().Find("i")
			So(ok, ShouldBeTrue)
			return found.Leaving
		}
		d.Replace(Snapshot{Revision: 1, Routes: r, Instances: []Instance{in}})
		views := 0
		d.OnChange(func(*View) { views++ })
		So(leaving(), ShouldBeFalse)
		d.MarkLeaving(Sighting(in.Incarnation()))
		d.MarkLeaving(Sighting(in.Incarnation()))
		So(views, ShouldEqual, 1)
		So(leaving(), ShouldBeTrue)
		So(d.HasStatedLeaving(in.Incarnation()), ShouldBeTrue)
		So(d.Since(Position{}).Instances[0].Leaving, ShouldBeFalse)

		in.Revision = 2
		d.Apply([]Change{{Instance: &in}}, 2)
		So(leaving(), ShouldBeTrue)
		d.Apply([]Change{{Removed: "i", RemovedAt: 3}}, 3)
		_, ok := d.View().Find("i")
		So(ok, ShouldBeFalse)
		in.Revision = 4
		d.Apply([]Change{{Instance: &in}}, 4)
		So(leaving(), ShouldBeTrue)

		in.Revision, in.Started = 5, 6
		d.Apply([]Change{{Instance: &in}}, 5)
		So(leaving(), ShouldBeFalse)
	})
	Convey("The oldest are forgotten first", t, func() {
		l := statedLeavings{}
		for i := range maxStatedLeavings + 1 {
			of := Incarnation{ID: InstanceID(fmt.Sprint(i))}
			l.add(Sighting(of), of)
		}
		So(l, ShouldHaveLength, maxStatedLeavings)
		So(l, ShouldNotContainKey, InstanceID("0"))
		So(l, ShouldContainKey, InstanceID(fmt.Sprint(maxStatedLeavings)))
	})
}
