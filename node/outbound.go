package node

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/filter"
)

// avoidAfterDial keeps calls away from an instance whose node could not be
// dialled.
const avoidAfterDial = time.Second

// lend returns how many of the retries left go down with one try. One is
// kept back when this hop could use it and another is left to lend: a lost
// answer counts as having spent all that was lent, and without the one kept
// back no lost answer could ever be retried.
func lend(left int, op *callgraph.Operation) int {
	if op.Idempotent && op.Retries > 0 && left > 1 {
		return left - 1
	}
	return left
}

// forward routes a call to a node of its service and retries within the
// budget. A capacity refusal does not make the node avoid the instance: its
// come-back time is for the caller, and avoiding every instance that
// refused once left none to call while slots were free again. The budget comes from the ledger when the call is the local
// target's (hop set) and from the request at entry. A retry is sent only
// when the answer says nothing ran, or the operation is idempotent and its
// outcome is unknown; a re-pick after a refusal that ran nothing because the
// instance was leaving or unreachable spends no budget, and is bounded by the
// number of instances.
func (n *Node) forward(ctx context.Context, r call.Request, op *callgraph.Operation, hop budget.Hop) call.Answer {
	lease := r.Budget
	if hop != "" {
		lease = n.ledger.Lease(hop)
	}
	deadline := time.Now().Add(r.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	var key call.Key
	if !op.Idempotent {
		key = r.Key
	}
	spent, retries := 0, 0
	mayHaveRun := false
	tried := map[string]bool{}
	a := call.Refuse(r, ErrNoInstance.Error(), time.Second)
	for ctx.Err() == nil {
		in, ok := n.table.Pick(r.Service, key, tried)
		if !ok {
			break
		}
		tried[in.Name] = true
		conn, err := n.peers.get(ctx, in)
		if err != nil {
			n.table.Avoid(in.Name, time.Now().Add(avoidAfterDial))
			continue
		}
		sent := r
		sent.Remaining = time.Until(deadline)
		sent.Budget = lend(lease-spent, op)
		a, err = conn.Call(ctx, sent, n.version())
		if err != nil {
			// Never written: nothing ran, so this is a re-pick, not a retry.
			a = call.Refuse(r, err.Error(), filter.MinRetryAfter)
			continue
		}
		spent += a.RetriesUsed
		mayHaveRun = mayHaveRun || a.Status != call.NotRun
		if a.Leaving {
			n.table.SetLeaving(in.Name, true)
			continue
		}
		if !n.retry.again(a, op, retries, spent, lease) {
			break
		}
		retries++
		spent++
		n.stats.retried(r.Service)
	}
	if hop != "" {
		n.ledger.Return(hop, lease-spent)
	}
	if mayHaveRun && a.Status == call.NotRun {
		// A later try was refused, but an earlier one was sent and its
		// answer lost: it may have run, so "not run" would be a lie.
		a = call.Answer{Status: call.Unknown, Reason: "an earlier try may have run; the last was refused: " + a.Reason}
	}
	a.ID = r.ID
	a.RetriesUsed = spent
	n.stats.answered("outbound", op.Class, a.Status)
	return a
}
