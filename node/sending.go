package node

import (
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
)

// sending is one call on its way to a node of its service, over all tries.
type sending struct {
	r          call.Request
	op         *callgraph.Operation
	deadline   time.Time
	lease      int      // retries this call may spend, here and below
	spent      int      // of lease
	retries    int      // sent at this hop
	passed     []string // instances that declined the key
	mayHaveRun bool     // some try was not refused
}

// next returns the request of the next try, to the named instance.
func (s *sending) next(instance string) call.Request {
	r := s.r
	r.To = instance
	r.Sent = time.Now()
	r.Remaining = time.Until(s.deadline)
	r.Budget = s.lend()
	r.Passed = s.passed
	return r
}

// lend returns how many of the retries left go down with one try. One is
// kept back when this hop could use it and another is left to lend: a lost
// answer counts as having spent all that was lent, and without the one kept
// back no lost answer could ever be retried.
func (s *sending) lend() int {
	left := s.lease - s.spent
	if s.op.Retries > 0 && left > 1 {
		return left - 1
	}
	return left
}

// note records what a try that was sent came back with.
func (s *sending) note(a call.Answer) {
	s.spent += a.RetriesUsed
	s.mayHaveRun = s.mayHaveRun || a.Status != call.NotRun
}

// repeatable reports whether the call may be sent again after a. An
// idempotent call may go to any instance unless it ran to an end; a call
// with a key only back to its owner, which knows whether it ran.
func (s *sending) repeatable(a call.Answer) bool {
	if s.op.Idempotent {
		return a.Status == call.NotRun || a.Status == call.Unknown
	}
	return a.Status == call.Unknown
}

// final returns the caller's answer, given that of the last try.
func (s *sending) final(a call.Answer) call.Answer {
	if s.mayHaveRun && a.Status == call.NotRun {
		// A later try was refused, but an earlier one was sent and its
		// answer lost: it may have run, so "not run" would be a lie.
		a = call.Answer{Status: call.Unknown, Reason: "an earlier try may have run; the last was refused: " + a.Reason}
	}
	a.ID = s.r.ID
	a.RetriesUsed = s.spent
	return a
}
