package sidecar

import "github.com/oatpin/oatpin/directory"

// usableSlots is the part of a target's slots that are used: some
// targets slow down by a third above 19 of 20 slots. Small targets are
// the scarce ones, and of 37 slots one less is three in a hundred of all
// that can be served.
const usableSlots = 0.95

// learn takes over what changed about the local target.
func (n *Node) learn(v *directory.View) {
	n.balancer.Keep(v)
	n.askAfter(v)
	if b := n.accounts(); b != nil {
		n.limiter.Keep(b)
	}
	in, ok := v.At(n.cfg.Target)
	if !ok {
		n.self.Store(nil)
		return
	}
	if !in.Unlisted {
		n.witness.See(in)
	}
	old := n.self.Swap(&in)
	if old != nil && old.Start() != in.Start() {
		// What failed, and what the open connections lead to, ended with
		// the start before.
		n.health.Reset()
		n.pace.Reset()
		n.target.Close()
	}
	if old == nil || old.Slots != in.Slots {
		usable := int(float64(in.Slots) * usableSlots)
		n.gate.SetLimit(usable)
		n.meter.SetSlots(usable)
	}
	if in.Leaving {
		// What waits here has not run: other instances can have it now.
		n.gate.Close()
	} else {
		n.gate.Open()
	}
}
