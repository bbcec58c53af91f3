package node

import (
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// outboundCall is the state of one routed call across its attempts.
type outboundCall struct {
	r          call.Request
	op         *callgraph.Operation
	deadline   time.Time
	lease      int      // retries this call may spend, at this hop and below
	spent      int      // retries spent of lease
	hopRetries int      // retries sent at this hop
	declinedBy []string // instances that declined the key
	mayHaveRun bool     // an attempt was answered with a status other than NotRun
}

// newAttempt returns the request for the next attempt, addressed to instance.
func (s *outboundCall) newAttempt(instance string) call.Request {
	r := s.r
	r.To = instance
	r.Sent = time.Now()
	r.Remaining = time.Until(s.deadline)
	r.RetryBudget = s.attemptBudget()
	r.DeclinedBy = s.declinedBy
	return r
}

// attemptBudget returns the retry budget to pass on with one attempt. One
// retry is held back if this hop may retry and another remains to pass on: a
// lost answer counts as having spent the whole budget passed on, so otherwise
// it could never be retried.
func (s *outboundCall) attemptBudget() int {
	left := s.lease - s.spent
	if s.op.MaxRetries > 0 && left > 1 {
		return left - 1
	}
	return left
}

// recordAttempt updates s with the answer to an attempt.
func (s *outboundCall) recordAttempt(a call.Answer) {
	s.spent += a.RetriesUsed
	s.mayHaveRun = s.mayHaveRun || a.Status != call.NotRun
}

// retryable reports whether it is safe to send the call again after a. An
// idempotent call may be sent to any instance if it was not run or its
// outcome is unknown; a call with a key only if its outcome is unknown, and
// only to its owner, which deduplicates it.
func (s *outboundCall) retryable(a call.Answer) bool {
	if s.op.Idempotent {
		return a.Status == call.NotRun || a.Status == call.Unknown
	}
	return a.Status == call.Unknown
}

// finalAnswer returns the answer for the caller, given that of the last
// attempt.
func (s *outboundCall) finalAnswer(a call.Answer) call.Answer {
	if s.mayHaveRun && a.Status == call.NotRun {
		// An earlier attempt may have run although the last was refused.
		a = call.Answer{Status: call.Unknown, Reason: "an earlier try may have run; the last was refused: " + a.Reason}
	}
	a.ID = s.r.ID
	a.RetriesUsed = s.spent
	return a
}
