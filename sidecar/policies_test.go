package sidecar

import (
	"reflect"
	"testing"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/slots"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a new policy that is missing from the defaults.
func TestDefaultPoliciesEnableAll(t *testing.T) {
	Convey("Each field is set", t, func() {
		v := reflect.ValueOf(DefaultPolicies())
		for i := range v.NumField() {
			So(v.Type().Field(i).Tag.Get("ini"), ShouldNotBeEmpty)
			So(v.Field(i).Bool(), ShouldBeTrue)
		}
	})
}

func TestDisabledPoliciesUseFallbacks(t *testing.T) {
	Convey("Each policy has a fallback", t, func() {
		b, c := admit.NewThresholdTable(), admit.NewRouteCosts()
		b.RecordThreshold("read", 3, "archiv")
		on, off := DefaultPolicies(), Policies{}
		So(on.admission(b).Threshold("read"), ShouldEqual, 3)
		So(off.admission(b).Threshold("read"), ShouldEqual, admit.MaxLevel)
		So(on.levels(c), ShouldEqual, c)
		So(off.levels(c), ShouldHaveSameTypeAs, admit.UniformLevels{})
		So(on.queueOrder(), ShouldResemble, slots.DefaultQueueOrder())
		So(off.queueOrder(), ShouldResemble, slots.QueueOrder{})
		t := admit.RequestTiming{Remaining: 4e9, TargetLatency: 1e9, TypicalLatency: 2e8}
		So(on.queueWait()(t), ShouldEqual, t.MaxQueueWait())
		So(off.queueWait()(t), ShouldEqual, t.Remaining)
		So(off.retryAfter()(t), ShouldEqual, 1e9)
		So(off.balancer("nord").Weights.ReportedHealth, ShouldEqual, 0)
		So(on.balancer("nord").Weights.ReportedHealth, ShouldEqual, 1)
		So(off.DirectoryConfig(log.Log).UnlistedGrace, ShouldEqual, 0)
		So(on.DirectoryConfig(log.Log).SpreadWatches, ShouldBeTrue)
	})
}
