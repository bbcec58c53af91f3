package account

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReport checks that any report from another node is either rejected or
// counted, with an answer that can be decoded.
func FuzzReport(f *testing.F) {
	b, err := msgpack.Marshal(Report{From: "dc1", Aggregated: true, Usage: []Usage{{Account: "a", Requested: 3, Admitted: 2}, {Account: "b", Admitted: -1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	registry, err := NewRegistry([]Account{{Name: "a", Rate: 5, Burst: 5}, {Name: "b"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var r Report
		if msgpack.Unmarshal(b, &r) != nil {
			return
		}
		quotas := NewAggregator(DefaultTolerance()).Add(registry, r)
		out, err := msgpack.Marshal(Quotas{Entries: quotas})
		if err != nil {
			t.Fatal(err)
		}
		var got Quotas
		if err := msgpack.Unmarshal(out, &got); err != nil || len(got.Entries) != len(quotas) {
			t.Fatal(got, err)
		}
	})
}

// BenchmarkAllow measures the decision on one request with a thousand accounts.
func BenchmarkAllow(b *testing.B) {
	l := NewLimiter(DefaultTolerance())
	all := make([]Account, 1000)
	for i := range all {
		all[i] = Account{Name: Name(string(rune('a'+i%26)) + string(rune(0x4e00+i))), Rate: 1e9, Burst: 1e9}
		l.Allow(&all[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Allow(&all[i%len(all)])
	}
}
