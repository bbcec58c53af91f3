package slots

import "github.com/oatpin/oatpin/admit"

// Order is what decides who waits for whom at a full target: always the rank,
// so that an approval never waits for reads, and then what is switched on.
// The zero value is by rank and arrival.
type Order struct {
	// Parts orders what has the same rank by the part drawn from the request.
	// A request that makes ten calls waits in the queue ten times. In order
	// of arrival all wait the same, and in a surge none gets its last call
	// done in time: the target is busy and nothing is finished. All of a
	// request's calls have the same part at every target, so those of the
	// lowest parts pass everywhere without waiting and are finished, and the
	// others end early. Whether a request is new or a call of one that runs
	// makes no difference then: what runs with a high part ends all the same.
	Parts bool
}

// Usual is the order that is measured to serve best.
func Usual() Order { return Order{Parts: true} }

// place is a ticket's level in the queue; the lowest comes first.
func (o Order) place(t Ticket) int {
	l := admit.RankOf(t.Level) * admit.Parts
	if o.Parts {
		l += admit.PartOf(t.Level)
	}
	return l
}
