package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against retry amplification: with a random sequence of leases,
// spends and returns, the calls of one hop must never spend more than its
// budget in total.
func TestLedgerNeverSpendsMoreThanOpened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger()
		given := rapid.IntRange(0, 10).Draw(t, "budget")
		l.Open("h", given)
		spent := 0
		var out []int // leases held by calls in flight
		steps := rapid.IntRange(1, 50).Draw(t, "steps")
		for range steps {
			if len(out) > 0 && rapid.Bool().Draw(t, "return") {
				lease := out[len(out)-1]
				out = out[:len(out)-1]
				use := rapid.IntRange(0, lease).Draw(t, "use")
				spent += use
				l.Return("h", lease-use)
				continue
			}
			out = append(out, l.Lease("h"))
		}
		for _, lease := range out {
			spent += lease
			l.Return("h", 0)
		}
		if left := l.Close("h"); spent+left != given {
			t.Fatalf("given %d, spent %d, left %d", given, spent, left)
		}
	})
}
