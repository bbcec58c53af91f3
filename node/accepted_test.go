package node

import (
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// A text is passed from node to node while the platform is down. The time
// it was accepted must not move with each node: after ten of them a text
// would look 10 s newer, and nodes that restart would decline keys that
// they may run.
func TestAcceptedTimeDoesNotDriftBetweenNodes(t *testing.T) {
	Convey("Ten nodes later the time is that of the first", t, func() {
		h := http.Header{}
		h.Set("Last-Modified", time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC).Format(http.TimeFormat))
		first := acceptedAt(h)
		at := first
		for range 10 {
			h = http.Header{}
			setAccepted(h, at)
			at = acceptedAt(h)
		}
		So(at.Equal(first), ShouldBeTrue)
	})
	Convey("A text without the header counts as accepted no earlier than now, here and at the next node", t, func() {
		now := time.Now()
		at := acceptedAt(http.Header{})
		So(at, ShouldHappenOnOrAfter, now)
		h := http.Header{}
		setAccepted(h, at)
		So(acceptedAt(h), ShouldHappenOnOrAfter, now)
	})
}
