package node

import (
	"github.com/oatpin/oatpin/call"
)

// baselineRetries is how often the baseline retries at every hop, as common
// client libraries do by default.
const baselineRetries = 2

type (
	// retryPolicy decides whether forward sends one more try.
	retryPolicy interface {
		again(a call.Answer, s *sending) bool
	}

	// budgeted retries only what is safe to send again, within the operation's limit
	// at this hop and the request's budget over all hops.
	budgeted struct{}

	// baseline is the naive policy oatpin is measured against: retry any
	// failure at every hop, with no budget.
	baseline struct{}
)

func (budgeted) again(a call.Answer, s *sending) bool {
	return s.repeatable(a) && s.retries < s.op.Retries && s.spent < s.lease
}

func (baseline) again(a call.Answer, s *sending) bool {
	return a.Status != call.OK && s.retries < baselineRetries
}
