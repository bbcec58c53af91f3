package node

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/owner"
)

// routerDrainDelay is how much longer than the instances themselves a router
// waits before it skips an instance that the VM list shows as leaving. Nodes
// read the list at different times, and an instance that has not read it yet
// would decline the key permanently.
const routerDrainDelay = vmListPropagation + time.Second

// unreachableRetryAfter is the retry-after when a key's owner is unreachable.
const unreachableRetryAfter = time.Second

// sendToOwner sends a non-idempotent call to the highest-ranked instance for its
// key that does not decline it. An unreachable owner is not skipped, because
// it may be running the key behind a network partition: the call is refused
// until the owner is reachable, has declined the key or has been listed as
// leaving for long enough.
func (n *Node) sendToOwner(ctx context.Context, s *outboundCall) call.Answer {
	allLeaving := true
	for ctx.Err() == nil {
		in, ok := n.nextOwner(s)
		if !ok {
			return allDeclined(s, allLeaving)
		}
		var a call.Answer
		sent := false
		if !n.table.Unreachable(in.Name) {
			a, sent = n.send(ctx, s, in)
		}
		switch {
		case !sent:
			return call.Refuse(s.r, "the instance that has this key is unreachable", unreachableRetryAfter)
		case a.Declined:
			s.declinedBy = append(s.declinedBy, in.Name)
			allLeaving = allLeaving && a.Leaving
			if a.Leaving {
				n.table.SetDraining(in.Name)
			}
		case !n.policy.shouldRetry(a, s):
			return a
		default:
			n.recordRetry(s)
		}
	}
	return call.Refuse(s.r, "deadline passed", 0)
}

// nextOwner returns the highest-ranked instance for the key, under the active
// configuration, that has neither declined the key nor drained.
func (n *Node) nextOwner(s *outboundCall) (callgraph.Instance, bool) {
	g := n.graph.Load()
	keyTime, err := s.r.Key.Created()
	if g == nil || g.Services[s.r.Service] == nil || err != nil {
		return callgraph.Instance{}, false
	}
	return owner.Next(g.Services[s.r.Service].Instances, s.r.Key, s.declinedBy, func(instance string) bool {
		return n.drainedBefore(instance, keyTime.Add(-routerDrainDelay))
	})
}

// allDeclined returns the answer when every instance declined the key. If all
// declined because they are leaving, the key never ran; otherwise an instance
// that is no longer configured may have run it.
func allDeclined(s *outboundCall, allLeaving bool) call.Answer {
	if allLeaving {
		return call.Refuse(s.r, ErrNoInstance.Error(), time.Second)
	}
	return call.Answer{ID: s.r.ID, Status: call.Unknown, Reason: "no instance can tell whether this key ran elsewhere"}
}

// drainedBefore reports whether instance was listed as leaving at least
// owner.PropagationDelay before at, so that its node has drained by then.
func (n *Node) drainedBefore(instance string, at time.Time) bool {
	return n.table.LeavingBefore(instance, at.Add(-owner.PropagationDelay))
}
