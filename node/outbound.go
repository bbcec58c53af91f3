package node

import (
	"context"
	"errors"
	"time"

	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/wire"
)

// forward routes a call to a node of its service and retries within the retry
// budget. The budget is leased from the hop for a call of the local target
// (hop set) and taken from the request for a client call.
func (n *Node) forward(ctx context.Context, r call.Request, op *callgraph.Operation, hop budget.Hop) call.Answer {
	lease := r.RetryBudget
	if hop != "" {
		lease = n.budgets.Lease(hop)
	}
	s := &outboundCall{r: r, op: op, lease: lease, deadline: time.Now().Add(r.Remaining)}
	ctx, cancel := context.WithDeadline(detach(ctx, op), s.deadline)
	defer cancel()
	var a call.Answer
	if op.Idempotent {
		a = n.sendToAny(ctx, s)
	} else {
		a = n.sendToOwner(ctx, s)
	}
	if hop != "" {
		n.budgets.Return(hop, lease-s.spent)
	}
	a = s.finalAnswer(a)
	n.stats.countAnswer("outbound", op.Class, a.Status)
	return a
}

// detach makes a non-idempotent call independent of its caller's
// cancellation, so that it runs until it ends or its deadline passes.
// Cancelled midway, its outcome would be unknown.
func detach(ctx context.Context, op *callgraph.Operation) context.Context {
	if op.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// sendToAny sends an idempotent call to instances of its service in turn. An
// attempt at a leaving or unreachable instance runs nothing and spends no
// retry; the number of such attempts is bounded by that of the instances.
func (n *Node) sendToAny(ctx context.Context, s *outboundCall) call.Answer {
	tried := map[string]bool{}
	a := call.Refuse(s.r, ErrNoInstance.Error(), time.Second)
	for ctx.Err() == nil {
		in, ok := n.table.Pick(s.r.Service, tried)
		if !ok {
			break
		}
		tried[in.Name] = true
		got, sent := n.send(ctx, s, in)
		if !sent {
			continue
		}
		a = got
		if a.Leaving {
			n.table.SetDraining(in.Name)
			continue
		}
		if !n.policy.shouldRetry(a, s) {
			break
		}
		n.recordRetry(s)
	}
	return a
}

// send makes one attempt at an instance and reports whether the call was
// sent; if not, it did not run. The node's own instance is served locally.
func (n *Node) send(ctx context.Context, s *outboundCall, in callgraph.Instance) (call.Answer, bool) {
	if in.Name == n.cfg.Settings.Instance {
		a := n.serveLocal(ctx, s.newAttempt(in.Name))
		s.recordAttempt(a)
		return a, true
	}
	// The connection can close between Get and Call; the second Get dials a
	// new one.
	for range 2 {
		conn, err := n.peers.Get(ctx, wire.Peer{Name: in.Name, Addr: in.Peer})
		if err != nil {
			// A cancelled dial does not show that the peer is unreachable.
			if ctx.Err() == nil && !errors.Is(err, wire.ErrRedialing) {
				n.table.SetUnreachable(in.Name)
			}
			return call.Answer{}, false
		}
		a, err := conn.Call(ctx, s.newAttempt(in.Name), n.version())
		if err == nil {
			s.recordAttempt(a)
			return a, true
		}
	}
	return call.Answer{}, false
}

func (n *Node) recordRetry(s *outboundCall) {
	s.hopRetries++
	s.spent++
	n.stats.countRetry(s.r.Service)
}
