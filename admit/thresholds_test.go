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
func TestThresholdFollowsSurgeAtLowAnswerRates(t *testing.T) {
	for _, answers := range []int{3, 10, 100} {
		synctest.Test(t, func(t *testing.T) {
			b := NewThresholdTable()
			b.ObserveLevel(47)
			every := time.Second / time.Duration(answers)
			for range 2 * answers {
				b.RecordThreshold("read", MaxLevel, "")
				time.Sleep(every)
			}
			for range answers {
				b.RecordThreshold("read", 39, "entwurf")
				time.Sleep(every)
			}
			surge := b.Threshold("read")
			for range answers {
				b.RecordThreshold("read", MaxLevel, "")
				time.Sleep(every)
			}
			Convey("The threshold falls within a second and recovers", t, func() {
				So(surge, ShouldBeBetweenOrEqual, 39, 41)
				So(b.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 45)
			})
		})
	}
}

// A route that is almost entirely refused gets hardly any responses. Its
// threshold must be held by responses on other routes that use the same
// service, or it would expire and let bursts of reads through.
func TestThresholdOfRefusedRouteIsUpdatedByOtherRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewThresholdTable()
		b.ObserveLevel(47)
		b.RecordThreshold("read", 33, "entwurf")
		b.RecordThreshold("approve", 33, "entwurf")
		Convey("The threshold holds while responses on another route confirm it", t, func() {
			for range 50 {
				time.Sleep(200 * time.Millisecond)
				b.RecordThreshold("approve", 33, "entwurf")
				So(b.Threshold("read"), ShouldEqual, 33)
			}
			Convey("It is lifted when they report free capacity", func() {
				for range 15 {
					time.Sleep(200 * time.Millisecond)
					b.RecordThreshold("approve", MaxLevel, "")
				}
				So(b.Threshold("read"), ShouldEqual, MaxLevel)
			})
		})
		Convey("A route that does not use the service is not refused", t, func() {
			b.RecordThreshold("publish", MaxLevel, "")
			So(b.Threshold("publish"), ShouldEqual, MaxLevel)
		})
	})
}

// A single request that finds no reachable instance is weak evidence and
// must not refuse a whole rank.
func TestSingleUnreachableRequestRefusesLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := NewThresholdTable()
		b.ObserveLevel(47)
		b.RecordThreshold("read", MaxLevel, "")
		time.Sleep(time.Second)
		b.RecordUnreachable("read", "archiv")
		Convey("At most a third of the last rank is refused", t, func() {
			So(b.Threshold("read"), ShouldBeGreaterThanOrEqualTo, 42)
		})
	})
}
