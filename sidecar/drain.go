package sidecar

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/inbound"
)

const (
	// noticePeriod is how long callers may send new requests to a draining node:
	// the platform checks readiness every second and removes the node after two
	// failed checks.
	noticePeriod = 2800 * time.Millisecond
	// minDrainTime is the minimum time that a draining node stays up, even if
	// idle, because the platform still sends callers there.
	minDrainTime = 2300 * time.Millisecond
	// peerDrainDelay is how long a draining node continues to serve requests from
	// peers. Refusing them immediately would leave its instance idle during every
	// restart. With three instances, that would be a third of the capacity for
	// three seconds.
	peerDrainDelay = 1200 * time.Millisecond
	// refuseNewNum / refuseNewDen is the fraction of the grace period after which
	// a draining node refuses new requests from callers, so that a short grace
	// period is not used up by them.
	refuseNewNum = 7
	refuseNewDen = 15
	// maxStopMargin is what a stop needs at the end of the grace period to close
	// connections and flush logs on a busy VM. It is at most 1/stopMarginDivisor
	// of the grace period.
	maxStopMargin     = 600 * time.Millisecond
	stopMarginDivisor = 10
	// closeTimeout is how long connections that have carried no request yet stay
	// open once a node has stopped listening. What arrives there is refused.
	closeTimeout = 200 * time.Millisecond
	// drainPollInterval is how often a draining node checks whether it is
	// idle.
	drainPollInterval = 20 * time.Millisecond
)

// drainPolicy decides what a draining node still accepts and how long it serves
// it. Times are measured from the beginning of the shutdown.
type drainPolicy struct {
	grace time.Duration // from the shutdown until the process is killed; not positive if unknown
}

// limit returns how long a node may serve, or false if the grace period is
// unknown. Then every request ends by its own deadline.
func (p drainPolicy) limit() (time.Duration, bool) {
	if p.grace <= 0 {
		return 0, false
	}
	return p.grace - min(maxStopMargin, p.grace/stopMarginDivisor), true
}

// endsInTime reports whether a request with this time left ends by its own
// deadline before the node stops.
func (p drainPolicy) endsInTime(since, remaining time.Duration) bool {
	limit, known := p.limit()
	return !known || since+remaining <= limit
}

// acceptsNew reports whether a new request from a caller is accepted. One that
// may be cut is refused, because nobody would know whether it ran, unless it is
// idempotent and the caller could not know yet that the node is leaving.
func (p drainPolicy) acceptsNew(since, remaining time.Duration, idempotent bool) bool {
	switch {
	case p.grace <= 0:
		return since <= noticePeriod
	case since > p.grace*refuseNewNum/refuseNewDen:
		return false
	case p.endsInTime(since, remaining):
		return true
	}
	return idempotent && since <= noticePeriod
}

// acceptsPeer reports whether a request from another node is accepted until
// delay. The other node sends a refused one to another instance.
func (p drainPolicy) acceptsPeer(since, delay, remaining time.Duration, idempotent bool) bool {
	return since <= delay && (idempotent || p.endsInTime(since, remaining))
}

// drainingSince returns the time since shutdown began, or false if it has
// not.
func (n *Node) drainingSince() (time.Duration, bool) {
	at := n.drainStart.Load()
	if at == nil {
		return 0, false
	}
	return time.Since(*at), true
}

// Shutdown stops the node gracefully. It fails the readiness check, continues to
// serve requests, and returns when none are left, or when the grace period is
// nearly over. If the grace period is unknown, requests end by their own
// deadlines. The context is ignored.
func (n *Node) Shutdown(context.Context) {
	began := time.Now()
	n.drainStart.Store(&began)
	n.startDrain()
	n.log.Info("node_leaving")
	ctx, cancel := n.serveUntilIdle(began)
	defer cancel()
	close(n.stop)
	time.AfterFunc(closeTimeout, n.callerServer.CloseUnused)
	if err := n.callerServer.Shutdown(ctx); err != nil {
		n.log.WithError(err).Warn("callers_cut")
	}
	n.peerServer.CloseConns()
	n.peers.Close()
	n.log.WithField("took_ms", time.Since(began).Milliseconds()).Info("node_stopped")
}

// serveUntilIdle returns when no request is left or the time to serve is over.
// The context that it returns ends with that time.
func (n *Node) serveUntilIdle(began time.Time) (context.Context, context.CancelFunc) {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for {
		now := <-t.C
		end := n.drainDeadline(began)
		ended := now.After(end)
		if !ended && (now.Sub(began) <= minDrainTime || !n.idle()) {
			continue
		}
		n.refuseNew.Store(true)
		// A request may have been accepted before; it is still served.
		if ended || n.idle() {
			n.logUnfinished()
			return context.WithDeadline(context.Background(), end.Add(closeTimeout))
		}
	}
}

// logUnfinished logs the requests in progress that a stop cuts.
func (n *Node) logUnfinished() {
	if !n.idle() {
		n.log.WithFields(log.Fields{"callers": n.activeRequests.Load(), "peers": n.peerServer.InFlight()}).Warn("drain_timeout")
	}
}

// drainDeadline returns when the node stops serving. If the grace period is
// unknown, that is once all accepted requests have passed their deadlines and
// their callers could have read the answers.
func (n *Node) drainDeadline(began time.Time) time.Time {
	if limit, known := n.drain.limit(); known {
		return began.Add(limit)
	}
	return n.deadlines.latest(began.Add(noticePeriod)).Add(inbound.AnswerStallTimeout)
}

// idle reports whether no request is in progress.
func (n *Node) idle() bool {
	return n.activeRequests.Load() == 0 && n.peerServer.InFlight() == 0
}
