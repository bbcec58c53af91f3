package sidecar

import (
	"context"
	"slices"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/quarantine"
)

const (
	// laneWait is how long a call of a running request waits for an isolated
	// one, or isolated for suspects; new requests have their own patience.
	laneWait = time.Second
	// comeBackHeld is when to come back with a request that an isolated one
	// kept out: two or three such take this long.
	comeBackHeld = 500 * time.Millisecond
)

// kept is a request as quarantine knows it, and how it may run.
type kept struct {
	as    quarantine.Fingerprint
	from  quarantine.Caller
	stage quarantine.Stage // when the request came, or entered the lane
}

func (n *Node) keptAs(r *call.Request) kept {
	k := kept{as: quarantine.FingerprintOf(r), from: quarantine.Caller(r.HTTP.Caller)}
	k.stage = n.stage(k)
	return k
}

// stage is how a request may run now.
func (n *Node) stage(k kept) quarantine.Stage { return n.book.Stage(k.as, k.from) }

// home returns the instance at which an isolated request runs, of those not
// tried. It goes by address: the node there knows at once when its instance
// ends under the request, and holds the next such request, which may come to a
// node that does not know yet. Where nothing listens it is the next's.
func (k kept) home(all []directory.Instance, tried []directory.InstanceID) []directory.Instance {
	var open, certain []directory.Instance
	for _, in := range all {
		if in.Leaving || slices.Contains(tried, in.ID) {
			continue
		}
		open = append(open, in)
		if !in.Doubtful {
			certain = append(certain, in)
		}
	}
	if len(certain) > 0 {
		open = certain
	}
	return quarantine.Home(k.as, open, func(in directory.Instance) string { return in.Addr })
}

// enterLane lets a request through when it may run beside those that run at
// the local target. Were an isolated one and another suspect in progress when
// the instance ends, it could be either's doing.
func (n *Node) enterLane(ctx context.Context, r *call.Request, k kept) (leave func(), ok bool) {
	if k.stage == quarantine.Quarantined {
		return nil, false
	}
	wait := r.HTTP.Patience
	if wait <= 0 {
		wait = laneWait
	}
	return n.lane.Enter(ctx, k.stage, wait)
}

// mayRun reports whether a request whose turn has come may still run: another
// that asks for the same may have ended an instance while it waited.
func (n *Node) mayRun(k kept) bool {
	now := n.stage(k)
	return now <= k.stage || now <= quarantine.Suspect
}

// hold refuses a request that instances have ended under. It has not run; one
// that may run at this instance only, or at none, is not sent to another.
func (n *Node) hold(r call.Request, k kept) call.Answer {
	a := call.Refuse(r, "instances ended under this request, and another such is running", comeBackHeld)
	now := n.stage(k)
	a.Held = now >= quarantine.Isolated
	if now == quarantine.Quarantined {
		a.Reason = "quarantined: instances ended under this request"
		a.RetryAfter = max(a.RetryAfter, n.book.Left(k.as, k.from))
	}
	return a
}

// noteRun notes what became of a request at the local target, and tells other
// nodes.
func (n *Node) noteRun(k kept, a *call.Answer) {
	if a.Ended != nil {
		a.Ended.Alone = k.stage == quarantine.Isolated
	}
	if n.noteTry(k, a) {
		n.tell(k.as)
	}
}

// noteTry notes what became of a try of a request at any target, and reports
// whether that is news.
func (n *Node) noteTry(k kept, a *call.Answer) bool {
	switch {
	case a.Ended != nil:
		return n.book.Ended(k.as, quarantine.End{ID: quarantine.EndID(a.Ended.ID), Caller: k.from, Alone: a.Ended.Alone})
	case a.HTTP != nil:
		return n.book.Answered(k.as, k.from)
	}
	return false
}
