package slots

import "github.com/oatpin/oatpin/admit"

// QueueOrder determines the queueing order of requests. Rank always comes
// first. The zero value orders by rank and arrival.
type QueueOrder struct {
	// ByLevel orders requests of the same rank by their level within it. All
	// calls of a request share one level at every target, so under overload
	// the requests of low levels complete all of their calls while the
	// others are refused early. In order of arrival, every call of every
	// request would wait, and few requests would complete.
	ByLevel bool
}

// DefaultQueueOrder returns the default order.
func DefaultQueueOrder() QueueOrder { return QueueOrder{ByLevel: true} }

// queueLevel returns the queue level of a ticket; lower levels are served
// first.
func (o QueueOrder) queueLevel(t Ticket) int {
	l := admit.RankOf(t.Level) * admit.LevelsPerRank
	if o.ByLevel {
		l += admit.IndexInRank(t.Level)
	}
	return l
}
