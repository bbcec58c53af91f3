package quarantine

import (
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// BenchmarkRequest measures the cost per request at each node on its path:
// fingerprint, stage lookup and recording the answer.
func BenchmarkRequest(b *testing.B) {
	r := request("POST", "/leny950/2fa6c1", string(make([]byte, 256)))
	for _, c := range []struct {
		name    string
		records int
	}{{"empty", 0}, {"full", maxRecords - 1}} {
		b.Run(c.name, func(b *testing.B) {
			book := newFilledBook(c.records)
			b.ReportAllocs()
			for b.Loop() {
				f := FingerprintOf(r)
				if book.Stage(f, "a") == Quarantined {
					b.Fatal("quarantined")
				}
				book.Answered(f, "a")
			}
		})
	}
}

// BenchmarkEnd measures the cost of an instance end with a hundred requests in
// progress, with a full Book, and the encoded size of its report.
func BenchmarkEnd(b *testing.B) {
	book := newFilledBook(maxRecords)
	fs := make([]Fingerprint, 100)
	next := Fingerprint(1 << 40)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		for i := range fs {
			next++
			fs[i] = next
			book.Ended(next, newEnd(EndID(next), "lego45a"))
		}
		encoded, err := msgpack.Marshal(book.Of(fs))
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size)/float64(len(fs)), "B/request")
}

// BenchmarkMemory measures the memory of a full Book.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		book := newFilledBook(maxRecords)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(book)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
}

func newFilledBook(records int) *Book {
	b := newTestBook()
	for i := range records {
		b.Ended(Fingerprint(i)<<20, newEnd(EndID(i/100+1), "lego45a"))
	}
	return b
}
