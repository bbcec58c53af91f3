package slots

import "github.com/oatpin/oatpin/admit"

// Order determines the queueing order of requests. Rank always comes first.
// The zero value orders by rank and arrival.
type Order struct {
	// Parts orders requests of the same rank by their level within it. All
	// calls of a request share one level at every target, so under overload
	// the requests of low levels complete all of their calls while the
	// others are refused early. In order of arrival, every call of every
	// request would wait, and few requests would complete.
	Parts bool
}

// Usual returns the default order.
func Usual() Order { return Order{Parts: true} }

// queueLevel returns the queue level of a ticket; lower levels are served
// first.
func (o Order) queueLevel(t Ticket) int {
	l := admit.RankOf(t.Level) * admit.Parts
	if o.Parts {
		l += admit.PartOf(t.Level)
	}
	return l
}
