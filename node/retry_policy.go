package node

import (
	"github.com/oatpin/oatpin/call"
)

// baselineRetries is the number of retries per hop under baselinePolicy.
const baselineRetries = 2

type (
	// retryPolicy decides whether a call is retried after answer a.
	retryPolicy interface {
		shouldRetry(a call.Answer, s *outboundCall) bool
	}

	// budgetedPolicy retries only calls that are safe to repeat, within the
	// operation's limit at this hop and the request's budget across all hops.
	budgetedPolicy struct{}

	// baselinePolicy retries any failure at every hop, without a budget.
	baselinePolicy struct{}
)

func (budgetedPolicy) shouldRetry(a call.Answer, s *outboundCall) bool {
	return s.retryable(a) && s.hopRetries < s.op.MaxRetries && s.spent < s.lease
}

func (baselinePolicy) shouldRetry(a call.Answer, s *outboundCall) bool {
	return a.Status != call.OK && s.hopRetries < baselineRetries
}
