package slots

import "github.com/oatpin/oatpin/admit"

// Order is what decides who waits for whom at a full target: always the rank,
// so that an approval never waits for reads, and then, each for itself, what
// is switched on. The zero value is by rank and arrival.
type Order struct {
	// CallsFirst puts calls of requests that run before new requests of their
	// rank: refusing one of them wastes all that ran above it.
	CallsFirst bool
	// Singles puts new requests that make no calls in the place of such calls:
	// with its turn the whole of one is done. Behind all calls they would
	// only ever get what the chains leave, and where these fill the target
	// that is nothing.
	Singles bool
	// Parts orders what is still alike by the part drawn from the request. A
	// request that makes ten calls waits in the queue ten times. In order of
	// arrival all wait the same, and in a surge none gets its last call done
	// in time: the target is busy and nothing is finished. All of a request's
	// calls have the same part at every target, so those of the lowest parts
	// pass everywhere without waiting and are finished, and the others end
	// early.
	Parts bool
}

// Usual is the order that is measured to serve best.
func Usual() Order { return Order{CallsFirst: true, Singles: true, Parts: true} }

// place is a ticket's level in the queue; the lowest comes first.
func (o Order) place(t Ticket) int {
	first := o.CallsFirst && (t.Begun || (o.Singles && t.Last))
	l := 2 * admit.RankOf(t.Level)
	if !first {
		l++
	}
	l *= admit.Parts
	if o.Parts {
		l += admit.PartOf(t.Level)
	}
	return l
}
