package node

import (
	"context"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/owner"
)

// listLag is how much longer than the instances themselves a router waits
// before it passes over an instance the VM list shows as leaving: they read
// the list at other moments, and one that has not seen it yet would decline
// the key for good.
const listLag = vmListLag + time.Second

// unreachableRetryAfter is when a caller may come back whose key's owner
// could not be reached.
const unreachableRetryAfter = time.Second

// sendToOwner sends a non-idempotent call to the first instance in its
// key's rank that does not decline it. An owner that cannot be reached is
// not passed over: it may be running the key behind a cut, so the call is
// refused until it is back, has declined or is listed as gone.
func (n *Node) sendToOwner(ctx context.Context, s *sending) call.Answer {
	onlyLeaving := true
	for ctx.Err() == nil {
		in, ok := n.nextOwner(s)
		if !ok {
			return unowned(s, onlyLeaving)
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
			s.passed = append(s.passed, in.Name)
			onlyLeaving = onlyLeaving && a.Leaving
			if a.Leaving {
				n.table.SetDraining(in.Name)
			}
		case !n.retry.again(a, s):
			return a
		default:
			n.countRetry(s)
		}
	}
	return call.Refuse(s.r, "deadline passed", 0)
}

// nextOwner returns the first instance in the rank, under the text now in
// force, that has not declined the key.
func (n *Node) nextOwner(s *sending) (callgraph.Instance, bool) {
	g := n.graph.Load()
	made, err := s.r.Key.Made()
	if g == nil || g.Services[s.r.Service] == nil || err != nil {
		return callgraph.Instance{}, false
	}
	return owner.Next(g.Services[s.r.Service].Instances, s.r.Key, s.passed, func(instance string) bool {
		return n.gone(instance, made.Add(-listLag))
	})
}

// unowned is the answer when every instance declined the key. If all did so
// because they are leaving, it ran nowhere and never will; otherwise an
// instance that is no longer in the text may have run it.
func unowned(s *sending, onlyLeaving bool) call.Answer {
	if onlyLeaving {
		return call.Refuse(s.r, ErrNoInstance.Error(), time.Second)
	}
	return call.Answer{ID: s.r.ID, Status: call.Unknown, Reason: "no instance can tell whether this key ran elsewhere"}
}

// gone reports whether an instance was listed as leaving so long before at
// that its own node has drained since.
func (n *Node) gone(instance string, at time.Time) bool {
	return n.table.ListedBefore(instance, at.Add(-owner.Settle))
}
