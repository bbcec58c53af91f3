package quarantine

import (
	"testing"
	"time"

	"github.com/oatpin/oatpin/message/messagetest"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/vmihailenco/msgpack/v5"
)

// reported has every field set, as testdata/former/report.hex has it from the
// version before.
var reported = Report{Next: Cursor{Epoch: 1 << 60, Seq: 300}, Records: []Record{
	{Of: 7, Ends: []End{{ID: 1, Caller: "a", Alone: true}, {ID: 1 << 40, Caller: "b", Cleared: true}}, Sound: []Caller{"b"}, Age: time.Second},
	{Of: 1 << 50},
}}

// What a node of the version before tells of ended instances counts during an
// upgrade, and it understands what it is told.
func TestReportsOfTheVersionBeforeAreOurs(t *testing.T) {
	Convey("Its report is read whole, and ours is the same to it", t, func() {
		var got Report
		So(msgpack.Unmarshal(messagetest.Former(t, "report"), &got), ShouldBeNil)
		So(got, ShouldResemble, reported)
		ours, err := msgpack.Marshal(reported)
		So(err, ShouldBeNil)
		So(ours, ShouldResemble, messagetest.Former(t, "report"))
	})
}

// FuzzReport: whatever another node tells, a Book takes it over within its
// bounds or does not read it.
func FuzzReport(f *testing.F) {
	f.Add(messagetest.Former(f, "report"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got Report
		if msgpack.Unmarshal(b, &got) != nil {
			return
		}
		book := newTestBook()
		for _, of := range book.Learn(got) {
			book.Stage(of, "a")
			if n := len(book.records[of].Ends); n > mostEnds {
				t.Fatalf("%d ends of one request", n)
			}
		}
		if len(book.records) > mostRecords {
			t.Fatalf("%d records", len(book.records))
		}
	})
}
