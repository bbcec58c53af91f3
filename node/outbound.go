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

// forward routes a call to a node of its service and retries within the
// budget, which comes from the ledger when the call is the local target's
// (hop set) and from the request at entry.
func (n *Node) forward(ctx context.Context, r call.Request, op *callgraph.Operation, hop budget.Hop) call.Answer {
	lease := r.Budget
	if hop != "" {
		lease = n.ledger.Lease(hop)
	}
	s := &sending{r: r, op: op, lease: lease, deadline: time.Now().Add(r.Remaining)}
	ctx, cancel := context.WithDeadline(detach(ctx, op), s.deadline)
	defer cancel()
	var a call.Answer
	if op.Idempotent {
		a = n.sendToAny(ctx, s)
	} else {
		a = n.sendToOwner(ctx, s)
	}
	if hop != "" {
		n.ledger.Return(hop, lease-s.spent)
	}
	a = s.final(a)
	n.stats.answered("outbound", op.Class, a.Status)
	return a
}

// detach frees an action from its caller and connection. Once begun it runs
// to its end or its deadline: broken off because its caller left or a
// connection closed, nobody could say whether it ran.
func detach(ctx context.Context, op *callgraph.Operation) context.Context {
	if op.Idempotent {
		return ctx
	}
	return context.WithoutCancel(ctx)
}

// sendToAny sends an idempotent call to instances of its service in turn. A
// re-pick after a refusal that ran nothing because the instance was leaving
// or unreachable spends no budget, and is bounded by the number of
// instances.
func (n *Node) sendToAny(ctx context.Context, s *sending) call.Answer {
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
		if !n.retry.again(a, s) {
			break
		}
		n.countRetry(s)
	}
	return a
}

// send sends one try to an instance and reports whether it was sent; one
// that was not ran nowhere. The node's own instance is called in place.
func (n *Node) send(ctx context.Context, s *sending, in callgraph.Instance) (call.Answer, bool) {
	if in.Name == n.cfg.Settings.Instance {
		a := n.serveLocal(ctx, s.next(in.Name))
		s.note(a)
		return a, true
	}
	// A connection can close between get and Call, before anything is
	// written; the second get dials anew.
	for range 2 {
		conn, err := n.peers.Get(ctx, wire.Peer{Name: in.Name, Addr: in.Peer})
		if err != nil {
			// A caller that gave up while the dial went on says nothing
			// about the peer.
			if ctx.Err() == nil && !errors.Is(err, wire.ErrRedialing) {
				n.table.SetUnreachable(in.Name)
			}
			return call.Answer{}, false
		}
		a, err := conn.Call(ctx, s.next(in.Name), n.version())
		if err == nil {
			s.note(a)
			return a, true
		}
	}
	return call.Answer{}, false
}

func (n *Node) countRetry(s *sending) {
	s.retries++
	s.spent++
	n.stats.retried(s.r.Service)
}
