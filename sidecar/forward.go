package sidecar

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/admit"
	"github.com/oatpin/oatpin/balance"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/quarantine"
)

const (
	// maxPicks bounds how many nodes are asked for one request; asking one
	// that refuses costs a few milliseconds and runs nothing.
	maxPicks = 4
	// comeBackNone is when to come back to a service without instances.
	comeBackNone = time.Second
	// peerMargin is how much sooner than here a request's time ends at the
	// node beside its instance: that node knows whether the request has run,
	// and its answer is to be here before this node must say it cannot know.
	peerMargin = 15 * time.Millisecond
	// dialPatience is how long a request waits for a connection to a peer; it
	// is opened all the same, for the next. Opening one takes a round trip
	// of a few milliseconds, and a peer that is cut off would take it all.
	dialPatience = 250 * time.Millisecond
	// leastTime is what must be left for another try to be worth sending.
	leastTime = 20 * time.Millisecond
	// noPatience lets a request into a target only if there is room at once.
	noPatience = time.Millisecond
)

// tries is what became of the tries of one request so far.
type tries struct {
	asked       []directory.InstanceID
	unreachable int  // of those asked
	reached     int  // instances that were handed the request, or may have been
	ran         bool // some try was not refused
}

// forward sends a request to instances of its service until one gives a
// final answer. ctx ends at the request's deadline or when its caller leaves.
func (n *Node) forward(ctx context.Context, q *request) call.Answer {
	if q.kept.stage == quarantine.Quarantined {
		n.stats.refused(causeQuarantine, q.account)
		return n.hold(q.Request, q.kept)
	}
	if q.HTTP.Repeat {
		n.window(q.Service).Inherit()
	} else {
		n.window(q.Service).First()
	}
	var t tries
	last := call.Refuse(q.Request, "no instance of "+q.Service, comeBackNone)
	for range maxPicks {
		in, ok := n.balancer.Pick(n.ask(q, t.asked))
		if !ok {
			break
		}
		t.asked = append(t.asked, in.ID)
		last = n.try(ctx, q, in, &t)
		if !n.again(ctx, q, last, &t) {
			break
		}
	}
	if t.ran && last.Status == call.NotRun {
		// A later try was refused, but an earlier one may have run.
		last = call.Answer{ID: q.ID, Status: call.Unknown, Reason: "an earlier try may have run; the last was refused: " + last.Reason}
	}
	if t.unreachable == len(t.asked) && n.stage(q.kept) == quarantine.Free {
		// Nobody can serve this route from here. Requests that would call on
		// it are refused where they enter, before their work is begun.
		n.board.Unreachable(q.route.Name, q.Service)
	}
	if last.Status == call.NotRun && last.RetryAfter == 0 {
		last.RetryAfter = n.comeBack(n.times(q.route, time.Until(q.deadline)))
	}
	return last
}

// ask is what the balancer is to know of a request. While something on the
// request's way is overloaded, the speed of instances does not count for
// actions: their calls are made from where they are served, and would all
// fall on what is near the fastest instance.
func (n *Node) ask(q *request, tried []directory.InstanceID) balance.Ask {
	v := n.dir.View()
	a := balance.Ask{Route: q.route.Name, Instances: v.Instances(q.Service), Near: v.Near(q.Service, n.cfg.DC), Tried: tried}
	if n.board.Threshold(q.route.Name) == admit.Top {
		a.Once, a.Time = !q.route.Idempotent, time.Until(q.deadline)
	}
	if n.stage(q.kept) == quarantine.Isolated {
		a.Instances, a.Near = q.kept.home(a.Instances, tried), nil
	}
	return a
}

// try sends the request to one instance and notes how that went.
func (n *Node) try(ctx context.Context, q *request, in directory.Instance, t *tries) call.Answer {
	sent := time.Now()
	a, reachable := n.send(ctx, q, in, t)
	o := balance.Outcome{Route: q.route.Name, Unreachable: !reachable, Leaving: a.Leaving, Load: a.Load}
	switch {
	case !reachable:
		t.unreachable++
	case a.Status == call.NotRun:
		o.Refused = a.Reached
		if a.Reached {
			t.reached++
		}
	default:
		t.reached++
		t.ran = true
		o.Failed = a.Status == call.Unknown || (a.HTTP != nil && a.HTTP.Code >= 500)
		if a.Status == call.OK {
			o.Took = time.Since(sent)
		}
	}
	if a.Status == call.Unknown && !n.blames(ctx, q, time.Since(sent)) {
		o.Failed = false
	}
	n.balancer.Done(in.Start(), o)
	n.noteTry(q.kept, &a)
	n.stats.tried(q.Service, a.Status, time.Since(sent))
	if a.Load != nil {
		n.board.Told(q.route.Name, a.Load.Admit, a.Load.Binds)
	}
	if a.Status != call.OK {
		n.note.Note("try_ended", func() log.Fields {
			f := log.Fields{"id": q.ID, "fingerprint": q.kept.as.String(), "route": q.route.Name, "service": q.Service, "instance": in.ID, "dc": in.DC, "revision": in.Revision,
				"status": a.Status, "why": a.Reason, "reached": a.Reached, "took_ms": time.Since(sent).Milliseconds(), "try": len(t.asked)}
			if a.HTTP != nil {
				f["code"] = a.HTTP.Code
			}
			return f
		})
	}
	return a
}

// blames reports whether a try that got no answer speaks against its
// instance: not when the caller left, and not when its time was up before
// requests of its route are usually done. An instance whose answers get lost
// shows only in requests that wait for them until their time is up.
func (n *Node) blames(ctx context.Context, q *request, waited time.Duration) bool {
	if errors.Is(ctx.Err(), context.Canceled) {
		return false
	}
	timedOut := ctx.Err() != nil || time.Until(q.deadline) <= 2*peerMargin
	return !timedOut || waited >= slowTimes*n.usual.Mean(q.route.Name, 0)
}

// send hands the request to the node beside an instance; reachable is false
// if that could not be done, and then nothing of it ran.
func (n *Node) send(ctx context.Context, q *request, in directory.Instance, t *tries) (a call.Answer, reachable bool) {
	r := q.Request
	r.To = string(in.ID)
	if !q.turnBy.IsZero() {
		q.HTTP.Patience = max(time.Until(q.turnBy), noPatience)
	}
	r.Yields = q.route.Idempotent && len(t.asked) < q.route.MaxInstances && n.window(q.Service).Room()
	r.Remaining = time.Until(q.deadline) - peerMargin
	if in.Addr == n.cfg.Target {
		return n.serveLocal(ctx, r), true
	}
	peer, err := n.peerOf(in)
	if err != nil {
		return call.Refuse(r, err.Error(), 0), false
	}
	// A connection can close between Get and Call, before anything is
	// written; the second Get dials anew.
	for range 2 {
		conn, err := n.peers.GetWithin(ctx, peer, dialPatience)
		if err != nil {
			return call.Refuse(r, "node unreachable: "+err.Error(), 0), false
		}
		r.Sent = time.Now()
		a, err := conn.Call(ctx, r, n.revision())
		if err == nil {
			return a, true
		}
	}
	return call.Refuse(r, "node unreachable: connections close", 0), false
}

// again reports whether the request is to be sent to another instance after
// an answer, and counts it against the bound on repeats if an instance was
// handed the request before.
func (n *Node) again(ctx context.Context, q *request, a call.Answer, t *tries) bool {
	if ctx.Err() != nil || time.Until(q.deadline) < leastTime || a.Held || n.stage(q.kept) == quarantine.Quarantined {
		return false
	}
	switch a.Status {
	case call.OK:
		return false
	case call.NotRun:
		if !a.Reached {
			return true
		}
	default:
		if !q.route.Idempotent || (a.HTTP != nil && a.HTTP.Code < 500) {
			return false
		}
	}
	if t.reached >= q.route.MaxInstances || !n.window(q.Service).Repeat() {
		return false
	}
	n.stats.repeated(q.Service)
	q.HTTP.Repeat = true
	return true
}
