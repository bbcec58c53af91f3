package quarantine

import (
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// What each request costs at each of the two nodes on its way: its
// fingerprint, the question how it may run, and the note that it was answered.
func BenchmarkRequest(b *testing.B) {
	r := request("POST", "/leny950/2fa6c1", string(make([]byte, 256)))
	for _, c := range []struct {
		name    string
		records int
	}{{"empty", 0}, {"full", mostRecords - 1}} {
		b.Run(c.name, func(b *testing.B) {
			book := filled(c.records)
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

// What the end of an instance with a hundred requests in progress costs its
// node, in a Book that is full, and the bytes that it tells of it.
func BenchmarkEnd(b *testing.B) {
	book := filled(mostRecords)
	fs := make([]Fingerprint, 100)
	next := Fingerprint(1 << 40)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		for i := range fs {
			next++
			fs[i] = next
			book.Ended(next, end(EndID(next), "lego45a"))
		}
		told, err := msgpack.Marshal(book.Of(fs))
		if err != nil {
			b.Fatal(err)
		}
		size = len(told)
	}
	b.ReportMetric(float64(size)/float64(len(fs)), "B/request")
}

// The memory of a full Book.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		book := filled(mostRecords)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(book)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/mostRecords, "B/record")
}

func filled(records int) *Book {
	b := newTestBook()
	for i := range records {
		b.Ended(Fingerprint(i)<<20, end(EndID(i/100+1), "lego45a"))
	}
	return b
}
