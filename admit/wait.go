package admit

import (
	"math/rand/v2"
	"time"
)

const (
	// patienceShare is the part of the time a new request can spare, beyond
	// what its route usually takes, that it may wait for its turn; the rest
	// stays for coming back.
	patienceShare = 2
	// patienceLeast is the part of its route's target latency that a new
	// request may wait in any case: refusing on the first slot that is taken
	// would refuse a tenth of the requests at four fifths of a target's load.
	patienceLeast = 8
	// usualShare is the part of the target latency that a route is taken to
	// need until it is measured.
	usualShare = 3
	// comeBackLeast is the shortest time a caller is told to wait: shorter
	// ones bring it back into the same moment of overload.
	comeBackLeast = 60 * time.Millisecond
	// comeBackMost is the longest: what is known of the load is no older
	// than fractions of a second, so nothing is known of what comes later.
	comeBackMost = 1500 * time.Millisecond
	// comeBackShare is the part of the time a caller still waits after which
	// it comes back at the latest, so that its next try has most of it.
	comeBackShare = 3
)

type (
	// Wait decides a time by what is known of a request's: how long it may
	// wait for its turn, or when a refused caller is to come back.
	Wait func(Times) time.Duration

	// Times is what is known of a request's time.
	Times struct {
		Left   time.Duration // how long its caller still waits
		Target time.Duration // the latency its route aims at; 0 for none
		Usual  time.Duration // what its route's requests usually take; 0 if not known
	}
)

// AllItsTime lets a request wait as long as its caller does.
func AllItsTime(t Times) time.Duration { return max(t.Left, 0) }

// InASecond has every refused caller come back after the same time.
func InASecond(Times) time.Duration { return time.Second }

// Patience is how long a new request may wait for its turn. Once a queue
// stands, waiting serves nobody more: as many are served in a second as
// without it, each later by the queue. So a request waits as long as its
// answer can still come within the route's target latency, and is refused at
// once beyond that, while its caller has time to come back.
func (t Times) Patience() time.Duration {
	usual := t.usual()
	spare := (t.Left - usual) / patienceShare
	if t.Target > 0 {
		spare = min(spare, max(t.Target-usual, t.Target/patienceLeast))
	}
	return max(spare, 0)
}

// ComeBack says when a refused caller's next try is worth most to it: late
// enough that others have had their turn, early enough that the answer is
// still within the route's target latency, and spread, so that those refused
// together do not come back together.
func (t Times) ComeBack() time.Duration {
	room := min(t.Target-t.usual(), t.Left/comeBackShare, comeBackMost)
	room = max(room, comeBackLeast)
	return room/2 + rand.N(room/2)
}

func (t Times) usual() time.Duration {
	switch {
	case t.Usual > 0:
		return t.Usual
	case t.Target > 0:
		return t.Target / usualShare
	}
	return t.Left / usualShare
}
