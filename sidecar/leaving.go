package sidecar

import (
	"time"
)

const (
	// noticeTime is how long a stopping node stays up even when idle: the
	// platform asks each second whether it is ready, and sends no new work
	// after two answers that it is not.
	noticeTime = 2300 * time.Millisecond
	// peersAfter is when a stopping node begins to send peers' requests away.
	// It stays up for noticeTime in any case, and what it takes in the first
	// half of that is done by its end; sending them away at once would leave
	// the instance without work for three seconds at each restart, a third
	// of the room of a service with three instances.
	peersAfter = 1200 * time.Millisecond
	// refuseNum / refuseDen is the part of its grace after which a stopping
	// node refuses callers' new requests: what it accepts later could still
	// run when the grace ends, and would be cut. Of six seconds it is 2.8,
	// past the two that the platform needs to send no more; a fixed time
	// would lie behind the last answer where the grace is short.
	refuseNum = 7
	refuseDen = 15
	// lastAnswerNum / lastAnswerDen is the part of its grace after which a
	// stopping node waits for nothing more, to be gone before it is killed.
	lastAnswerNum = 9
	lastAnswerDen = 10
	// closeWait bounds the closing of connections at the end.
	closeWait = 200 * time.Millisecond
	// idlePoll is how often a stopping node looks whether it is done.
	idlePoll = 20 * time.Millisecond
)

// leavingSince returns how long ago the stop began, and false before it.
func (n *Node) leavingSince() (time.Duration, bool) {
	at := n.leaving.Load()
	if at == 0 {
		return 0, false
	}
	return time.Since(time.Unix(0, at)), true
}
