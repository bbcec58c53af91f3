package budget

import (
	"testing"

	"pgregory.net/rapid"
)

// One hop of a request makes many calls to its dependencies, some at once.
// If each call could spend the hop's whole budget, a fan-out of ten would
// cause ten times the retries the text allows. Random leases, spends and
// returns must never let the hop spend more than it was given.
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
