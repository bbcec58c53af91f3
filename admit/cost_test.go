package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	. "github.com/smartystreets/goconvey/convey"
)

// admittedFraction returns the fraction of a route's requests that are
// admitted at a threshold.
func admittedFraction(c *RouteCosts, route string, priority int, threshold call.Level) float64 {
	n := 0
	for i := range 2000 {
		if c.Level(RequestInfo{Route: route, Priority: priority, Rank: priority}, call.RequestID(fmt.Sprint(route, i))) <= threshold {
			n++
		}
	}
	return float64(n) / 2000
}

// Guards against refusing the same fraction of every route: an expensive
// view must not take the capacity that would complete several cheaper
// releases.
func TestRoutesAreAdmittedInInverseProportionToCost(t *testing.T) {
	Convey("Without known costs, all routes are refused alike", t, func() {
		c := NewRouteCosts()
		So(admittedFraction(c, "view", 2, 2*LevelsPerRank+7), ShouldAlmostEqual, 0.5, 0.04)
		So(admittedFraction(c, "release", 2, 2*LevelsPerRank+7), ShouldAlmostEqual, 0.5, 0.04)
		for range 200 {
			c.Record("view", 2, 240*time.Millisecond)
			c.Record("release", 2, 96*time.Millisecond)
			c.Record("extend", 0, time.Millisecond)
			c.Record("book", 0, 240*time.Millisecond)
		}
		Convey("The cheap route is fully admitted, half of the expensive one", func() {
			So(admittedFraction(c, "release", 2, 2*LevelsPerRank+7), ShouldEqual, 1)
			So(admittedFraction(c, "view", 2, 2*LevelsPerRank+7), ShouldAlmostEqual, 0.5, 0.04)
		})
		Convey("With less capacity, admission is in inverse proportion to cost", func() {
			So(admittedFraction(c, "release", 2, 2*LevelsPerRank+1), ShouldAlmostEqual, 2/6.4, 0.04)
			So(admittedFraction(c, "view", 2, 2*LevelsPerRank+1), ShouldAlmostEqual, 2/16.0, 0.03)
		})
		Convey("The ratio is at most four, and ranks are independent", func() {
			So(admittedFraction(c, "extend", 0, 0), ShouldAlmostEqual, 1/4.0, 0.04)
			So(admittedFraction(c, "extend", 0, 3), ShouldEqual, 1)
			So(admittedFraction(c, "book", 0, 3), ShouldAlmostEqual, 0.25, 0.04)
			So(admittedFraction(c, "book", 0, LevelsPerRank-1), ShouldEqual, 1)
		})
	})
}

func BenchmarkLevel(b *testing.B) {
	c := NewRouteCosts()
	for i := range 12 {
		c.Record(fmt.Sprint("r", i), i%3, time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		c.Level(RequestInfo{Route: "r4", Priority: 1, Rank: 1}, "9c41d07be2a35f68")
	}
}
