package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// admitted returns the part of a route's requests up to a level.
func admitted(c *Costs, route string, priority int, up call.Level) float64 {
	n := 0
	for i := range 2000 {
		if c.Level(Kind{Route: route, Priority: priority, Rank: priority}, call.RequestID(fmt.Sprint(route, i))) <= up {
			n++
		}
	}
	return float64(n) / 2000
}

// A read with eight calls of 30 ms and a release of 96 ms share a rank and
// the target that is short of room. With every kind cut by the same part, as
// much room goes to a read that is refused at its eighth call as two releases
// would need, and releases miss their floor on the busiest days.
func TestRoomGoesToKindsInInverseProportionToTheirCost(t *testing.T) {
	Convey("Half of the rank is refused", t, func() {
		c := NewCosts()
		So(admitted(c, "view", 2, 2*Parts+7), ShouldAlmostEqual, 0.5, 0.04)
		So(admitted(c, "release", 2, 2*Parts+7), ShouldAlmostEqual, 0.5, 0.04)
		for range 200 {
			c.Took("view", 2, 240*time.Millisecond)
			c.Took("release", 2, 96*time.Millisecond)
			c.Took("extend", 0, time.Millisecond)
			c.Took("book", 0, 240*time.Millisecond)
		}
		Convey("All of the cheap kind pass, and half of the dear one", func() {
			So(admitted(c, "release", 2, 2*Parts+7), ShouldEqual, 1)
			So(admitted(c, "view", 2, 2*Parts+7), ShouldAlmostEqual, 0.5, 0.04)
		})
		Convey("With less room, in inverse proportion", func() {
			So(admitted(c, "release", 2, 2*Parts+1), ShouldAlmostEqual, 2/6.4, 0.04)
			So(admitted(c, "view", 2, 2*Parts+1), ShouldAlmostEqual, 2/16.0, 0.03)
		})
		Convey("But the dearest is never four times worse off, and ranks are apart", func() {
			So(admitted(c, "extend", 0, 0), ShouldAlmostEqual, 1/4.0, 0.04)
			So(admitted(c, "extend", 0, 3), ShouldEqual, 1)
			So(admitted(c, "book", 0, 3), ShouldAlmostEqual, 0.25, 0.04)
			So(admitted(c, "book", 0, Parts-1), ShouldEqual, 1)
		})
	})
}

func BenchmarkLevel(b *testing.B) {
	c := NewCosts()
	for i := range 12 {
		c.Took(fmt.Sprint("r", i), i%3, time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Level(Kind{Route: "r4", Priority: 1, Rank: 1}, "9c41d07be2a35f68")
	}
}
