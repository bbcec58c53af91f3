package node

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against the accepted time moving forward with each node a
// configuration passes through: nodes that restart would then decline keys
// they may run.
func TestAcceptedTimeDoesNotDriftBetweenNodes(t *testing.T) {
	Convey("The time is unchanged after ten nodes", t, func() {
		h := http.Header{}
		h.Set("Last-Modified", time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC).Format(http.TimeFormat))
		first := acceptedFromHeader(h)
		at := first
		for range 10 {
			h = http.Header{}
			setAcceptedHeader(h, at)
			at = acceptedFromHeader(h)
		}
		So(at.Equal(first), ShouldBeTrue)
	})
	Convey("Without the header the accepted time is not before the current time, here and at the next node", t, func() {
		now := time.Now()
		at := acceptedFromHeader(http.Header{})
		So(at, ShouldHappenOnOrAfter, now)
		h := http.Header{}
		setAcceptedHeader(h, at)
		So(acceptedFromHeader(h), ShouldHappenOnOrAfter, now)
	})
}
