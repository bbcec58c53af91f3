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
			tracker := newFilledTracker(c.records)
			b.ReportAllocs()
			for b.Loop() {
				f := FingerprintOf(r)
				if tracker.Stage(f, "a") == Quarantined {
					b.Fatal("quarantined")
				}
				tracker.RecordAnswer(f, "a")
			}
		})
	}
}

// BenchmarkExit measures the cost of an instance exit with a hundred requests in
// progress, with a full Tracker, and the encoded size of its report.
func BenchmarkExit(b *testing.B) {
	tracker := newFilledTracker(maxRecords)
	fs := make([]Fingerprint, 100)
	next := Fingerprint(1 << 40)
	size := 0
	b.ReportAllocs()
	for b.Loop() {
		for i := range fs {
			next++
			fs[i] = next
			tracker.RecordExit(next, newExit(ExitID(next), "lego45a"))
		}
		encoded, err := msgpack.Marshal(tracker.Records(fs))
		if err != nil {
			b.Fatal(err)
		}
		size = len(encoded)
	}
	b.ReportMetric(float64(size)/float64(len(fs)), "B/request")
}

// BenchmarkMemory measures the memory of a full Tracker.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		tracker := newFilledTracker(maxRecords)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(tracker)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
}

func newFilledTracker(records int) *Tracker {
	tracker := newTestTracker()
	for i := range records {
		tracker.RecordExit(Fingerprint(i)<<20, newExit(ExitID(i/100+1), "lego45a"))
	}
	return tracker
}
