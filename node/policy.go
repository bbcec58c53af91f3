package node

import (
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// baselineRetries is how often the baseline retries at every hop, as common
// client libraries do by default.
const baselineRetries = 2

type (
	// retryPolicy decides whether forward sends one more try.
	retryPolicy interface {
		again(a call.Answer, op *callgraph.Operation, retries, spent, lease int) bool
	}

	// budgeted retries only what did not run (or, for an idempotent
	// operation, whose outcome is unknown), within the operation's limit
	// at this hop and the request's budget over all hops.
	budgeted struct{}

	// baseline is the naive policy oatpin is measured against: retry any
	// failure at every hop, with no budget.
	baseline struct{}
)

func (budgeted) again(a call.Answer, op *callgraph.Operation, retries, spent, lease int) bool {
	return a.Retryable(op.Idempotent) && retries < op.Retries && spent < lease
}

func (baseline) again(a call.Answer, _ *callgraph.Operation, retries, _, _ int) bool {
	return a.Status != call.OK && retries < baselineRetries
}
