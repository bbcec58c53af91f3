package admit

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a slow reaction at nodes with few responses: the threshold
// must follow a surge within a second at any response rate, or admitted
// requests fail halfway and waste capacity.
func TestThresholdFollowsSurgeAtLowResponseRates(t *testing.T) {
	for _, perSecond := range []int{3, 10, 100} {
		synctest.Test(t, func(t *testing.T) {
			table := NewThresholdTable()
			table.ObserveLevel(47)
			every := time.Second / time.Duration(perSecond)
			for range 2 * perSecond {
				table.RecordThreshold("read", MaxLevel, "")
				time.Sleep(every)
			}
			for range perSecond {
				table.RecordThreshold("read", 39, "entwurf")
				time.Sleep(every)
			}
			surge := table.Threshold("read")
			for range perSecond {
				table.RecordThreshold("read", MaxLevel, "")
				time.Sleep(every)
			}
			Convey("The threshold falls within a second and recovers", t, func() {
				So(surge, ShouldBeBetweenOrEqual, 39, 41)
				So(table.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 45)
			})
		})
	}
}

// A route that is almost entirely refused gets hardly any responses. Its
// threshold must be held by responses on other routes that use the same
// service, or it would expire and let bursts of reads through.
func TestThresholdOfRefusedRouteIsUpdatedByOtherRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewThresholdTable()
		table.ObserveLevel(47)
		table.RecordThreshold("read", 33, "entwurf")
		table.RecordThreshold("approve", 33, "entwurf")
		Convey("The threshold holds while responses on another route confirm it", t, func() {
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				table.RecordThreshold("approve", 33, "entwurf")
				So(table.Threshold("read"), ShouldEqual, 33)
			}
			Convey("It is lifted when they report free capacity", func() {
				for range 15 {
					time.Sleep(200 * time.Millisecond)
					table.RecordThreshold("approve", MaxLevel, "")
				}
				So(table.Threshold("read"), ShouldEqual, MaxLevel)
			})
		})
		Convey("A route that does not use the service is not refused", t, func() {
			table.RecordThreshold("publish", MaxLevel, "")
			So(table.Threshold("publish"), ShouldEqual, MaxLevel)
		})
	})
}

// A single request that finds no reachable instance is weak evidence and
// must not refuse a whole rank.
func TestSingleUnreachableRequestRefusesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewThresholdTable()
		table.ObserveLevel(47)
		table.RecordThreshold("read", MaxLevel, "")
		time.Sleep(time.Second)
		table.RecordUnreachable("read", "archiv")
		Convey("At most a third of the last rank is refused", t, func() {
			So(table.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 42)
		})
	})
}
