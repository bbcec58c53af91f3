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
	// refuseAfter is when a stopping node begins to refuse callers' new
	// requests: what it accepts later than this could still run when its
	// grace ends.
	refuseAfter = 2800 * time.Millisecond
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
