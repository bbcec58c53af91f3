package sidecar

import (
	"math/rand/v2"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// comeBackLeast is the shortest time a caller is told to wait: shorter
	// ones bring it back into the same moment of overload.
	comeBackLeast = 60 * time.Millisecond
	// comeBackMost is the longest: what is known of the load is no older
	// than fractions of a second, so nothing is known of what comes later.
	comeBackMost = 1500 * time.Millisecond
)

// comeBack says when a refused caller's next try is worth most to it: late
// enough that others have had their turn, early enough that the answer is
// still within the route's target latency, and spread, so that those refused
// together do not come back together. left is the time it still waits.
func (n *Node) comeBack(rt *directory.Route, left time.Duration) time.Duration {
	room := rt.TargetLatency - n.usual.Mean(rt.Name, rt.TargetLatency/3)
	room = min(room, left/3, comeBackMost)
	room = max(room, comeBackLeast)
	return room/2 + rand.N(room/2)
}
