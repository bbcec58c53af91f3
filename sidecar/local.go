package sidecar

import (
	"time"

	"github.com/oatpin/oatpin/directory"
)

// usableSlotRatio is the fraction of a target's slots that are used; some
// targets become a third slower when more than 19 of 20 are busy.
const usableSlotRatio = 0.95

// applyView applies a new directory view, including changes to the local
// target.
func (n *Node) applyView(v *directory.View) {
	n.balancer.Prune(v)
	n.shareRetryBudgets(len(v.All()))
	n.queryUnlisted(v)
	if v.Routes != nil {
		n.limiter.SetRegistry(v.Routes.Accounts)
	}
	in, ok := v.InstanceAt(n.cfg.TargetAddr)
	if !ok {
		n.self.Store(nil)
		return
	}
	if !in.Unlisted {
		n.vouchChecker.Observe(in)
	}
	n.targetRate.begin(in.Incarnation())
	old := n.self.Swap(&in)
	n.beginTargetRun(in.Incarnation())
	if old == nil || old.Slots != in.Slots {
		usable := int(float64(in.Slots) * usableSlotRatio)
		n.gate.SetLimit(usable)
		n.meter.SetSlots(usable)
	}
	if in.Leaving {
		// Queued requests have not been executed and can go to other
		// instances.
		n.gate.Close()
	} else {
		n.gate.Open()
	}
}

// beginTargetRun discards what belongs to another run of the target: failure
// statistics and connections. The run before may be listed no more, or unknown
// to a node that has restarted; its failures would keep requests from the new
// one, which could never show that it does not fail.
func (n *Node) beginTargetRun(of directory.Incarnation) {
	before := n.targetRun.Swap(&of)
	if before != nil && *before == of {
		return
	}
	n.health.Reset()
	n.slowdown.Reset()
	n.target.Begin(time.UnixMilli(int64(of.At)))
	if of.At == 0 || (before != nil && before.ID != of.ID) {
		n.target.Close()
	}
}
