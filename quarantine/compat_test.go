package quarantine

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/message/messagetest"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// wantReport has every field set. testdata/former/report.hex is its encoding by
// the previous version.
var wantReport = Report{Next: Cursor{Epoch: 1 << 60, Seq: 300}, Records: []Record{
	{Fingerprint: 7, Exits: []Exit{{ID: 1, Caller: "a", Isolated: true}, {ID: 1 << 40, Caller: "b", Answered: true}}, AnsweredFor: []Caller{"b"}, Age: time.Second},
	{Fingerprint: 1 << 50},
}}

// Nodes of the previous and of this version exchange reports during an upgrade.
func TestReportCompatibleWithPreviousVersion(t *testing.T) {
	Convey("The previous version's report decodes completely, and ours encodes to the same bytes", t, func() {
		var got Report
		So(msgpack.Unmarshal(messagetest.Golden(t, "report"), &got), ShouldBeNil)
		So(got, ShouldResemble, wantReport)
		ours, err := msgpack.Marshal(wantReport)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Golden(t, "report"))
	})
}

// FuzzReport checks that a Tracker merges any report within its bounds or
// rejects it.
func FuzzReport(f *testing.F) {
	f.Add(messagetest.Golden(f, "report"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Report
		if msgpack.Unmarshal(b, &got) != nil {
			return
		}
		tracker := newTestTracker()
		for _, fp := range tracker.Merge(got) {
			tracker.Stage(fp, "a")
			if n := len(tracker.records[fp].Exits); n > maxExits {
				t.Fatalf("record holds %d exits, more than maxExits", n)
			}
		}
		if len(tracker.records) > maxRecords {
			t.Fatalf("tracker holds %d records, more than maxRecords", len(tracker.records))
		}
	})
}
