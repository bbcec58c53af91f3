package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/settings"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against nodes that keep the bounds of one deployment on all of them.
func TestBoundsOfThePlatformAreTheDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.ini")
	load := func(bounds, keys string) sidecarSettings {
		text := "[sidecar]\nname=a\ndc=d\nservice=s\ntarget=h:1\ncallers=h:2\npeer=h:3\nready=h:4\nmetrics=h:5\nstore=h:6\n" + keys
		So(os.WriteFile(path, []byte(text), 0o600), ShouldBeNil)
		b, err := platform.ParseBounds(bounds)
		So(err, ShouldBeNil)
		s, err := loadSidecar(path, b)
		So(err, ShouldBeNil)
		return s
	}
	Convey("Without bounds the defaults hold", t, func() {
		want := sidecarSettings{Sidecar: settings.DefaultSidecar()}
		got := load("", "")
		So(got.ShutdownGrace, ShouldEqual, settings.UnknownGrace)
		So(tuning(got), ShouldResemble, tuning(want))
	})
	Convey("Bounds replace them, at half and twice of what others state", t, func() {
		for _, c := range []struct {
			bounds                 string
			grace, window          time.Duration
			ratio, shared, minimum float64
		}{{"Grace=3s,BudgetWindow=5s,RetryBudgetRatio=0.1,RetryBudgetSlack=25", 3 * time.Second, 5 * time.Second, 0.025, 25, 2},
			{"Grace=12s,BudgetWindow=20s,RetryBudgetRatio=0.4,RetryBudgetSlack=100", 12 * time.Second, 20 * time.Second, 0.1, 100, 2},
			{"Grace=12s,BudgetWindow=20s,RetryBudgetRatio=0,RetryBudgetSlack=0", 12 * time.Second, 20 * time.Second, 0, 0, 0}} {
			got := load(c.bounds, "")
			So(got.ShutdownGrace, ShouldEqual, c.grace)
			So(got.RetryWindow, ShouldEqual, c.window)
			So(got.RetryRatio, ShouldEqual, c.ratio)
			So(got.SharedRetries, ShouldEqual, c.shared)
			So(got.MinRetries, ShouldEqual, c.minimum)
		}
	})
	Convey("Keys of the file go before bounds", t, func() {
		got := load("Grace=3s,RetryBudgetRatio=0.1,RetryBudgetSlack=25", "grace=7s\nrepeat_ratio=0.01\nrepeat_shared=3\n")
		So(got.ShutdownGrace, ShouldEqual, 7*time.Second)
		So(got.RetryRatio, ShouldEqual, 0.01)
		So(got.SharedRetries, ShouldEqual, 3)
	})
}
