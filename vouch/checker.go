package vouch

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// TTL is how long a vouch is valid. An instance that leaves unannounced
	// may get requests for at most two more seconds, which bounds the sum of
	// the age of the check that a vouch is based on, TTL and the transit time
	// of a request.
	TTL = 1200 * time.Millisecond
	// RenewInterval is the interval at which a vouch is renewed: twice within
	// TTL, so that it does not expire because of one lost request.
	RenewInterval = 500 * time.Millisecond
	// checkTTL is how long the result of a check is reused, as all nodes
	// that use an instance ask at the same time.
	checkTTL = 400 * time.Millisecond
	// CheckTimeout is the timeout of a check. A source that takes longer counts as
	// unreachable, and the probe of the target decides. A slow source takes a
	// fifth of a second.
	CheckTimeout = 250 * time.Millisecond
	// relistGrace is how long after the source is reachable again a live
	// instance may still be missing from the list. Instances report every
	// 1.5 s.
	relistGrace = 2 * time.Second
)

// ServingStatus is the result of a health check of the target.
type ServingStatus int

const (
	// StatusUnknown means that the target did not respond, or was too busy to.
	StatusUnknown ServingStatus = iota
	// Serving means that this instance is running and not leaving.
	Serving
	// NotServing means that it is leaving, failing, gone, or has been
	// replaced.
	NotServing
)

type (
	// Config configures a Checker. Listed and Probe are called with a
	// timeout of CheckTimeout.
	Config struct {
		// Listed asks the source directly whether an instance is listed. It
		// returns an error if the source did not answer.
		Listed func(ctx context.Context, id directory.InstanceID) (bool, error)
		// Probe asks the local target whether it is this instance and
		// healthy.
		Probe func(ctx context.Context, in directory.Instance) ServingStatus
		// LastSourceFailure returns when other requests of this node to the
		// source last failed, or zero for never. It may take locks.
		LastSourceFailure func() time.Time
	}

	// Checker decides whether this node vouches for its local instance. An
	// instance's registry entry is removed when it leaves, but also when its
	// reports do not reach the source. Only the node beside it can tell the
	// two apart: if the source answers and lacks the entry, the instance has
	// left; if the source does not answer, the entry may have expired, and a
	// probe of the instance decides. It is safe for concurrent use.
	Checker struct {
		cfg Config

		mu           sync.Mutex
		instance     *directory.Instance // as last listed
		exited       bool                // this run of the instance has exited
		lastServing  time.Time           // last time the target was found serving
		sourceLostAt time.Time           // last time the source did not answer a check
		checkedAt    time.Time
		verdict      bool
		inProgress   chan struct{} // non-nil during a check; closed at its end
	}
)

// NewChecker returns a Checker that has seen no instance.
func NewChecker(cfg Config) *Checker { return &Checker{cfg: cfg} }

// Observe records the local instance as listed. The last check is invalidated
// if the instance was restarted, has a new revision or is leaving.
func (c *Checker) Observe(in directory.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.instance == nil || c.instance.Incarnation() != in.Incarnation() || c.instance.Revision != in.Revision || in.Leaving {
		c.checkedAt, c.lastServing, c.exited = time.Time{}, time.Time{}, false
	}
	c.instance = &in
}

// RecordExit records that nothing listened at the target's address at a time. A
// later instance at that address is a new run, even under the same ID, and is
// vouched for only once it is listed. It is not the one that exited, even if it
// is listed before the exit is recorded.
func (c *Checker) RecordExit(at directory.UnixMilli) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.instance != nil && c.instance.Started > at {
		return
	}
	c.exited, c.verdict = true, false
}

// Vouch reports whether this node vouches for a run of an instance for the next
// TTL.
func (c *Checker) Vouch(ctx context.Context, incarnation directory.Incarnation) bool {
	for {
		c.mu.Lock()
		if c.instance == nil || c.instance.Incarnation() != incarnation || c.instance.Leaving || c.exited {
			c.mu.Unlock()
			return false
		}
		if time.Since(c.checkedAt) < checkTTL {
			defer c.mu.Unlock()
			return c.verdict
		}
		if c.inProgress == nil {
			c.inProgress = make(chan struct{})
			in := *c.instance
			c.mu.Unlock()
			c.check(ctx, in)
			continue
		}
		inProgress := c.inProgress
		c.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return false
		}
	}
}

// check queries the source and the target concurrently and stores the
// verdict.
func (c *Checker) check(ctx context.Context, in directory.Instance) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), CheckTimeout)
	defer cancel()
	probed := make(chan ServingStatus, 1)
	go func() { probed <- c.cfg.Probe(ctx, in) }()
	listed, err := c.cfg.Listed(ctx, in.ID)
	status := <-probed
	// The directory takes its own lock, so it is not asked with c.mu held.
	sourceFailedAt := c.cfg.LastSourceFailure()
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.inProgress)
	c.inProgress = nil
	if c.instance == nil || c.instance.Incarnation() != in.Incarnation() {
		return
	}
	now := time.Now()
	c.checkedAt = now
	if err != nil {
		c.sourceLostAt = now
	}
	c.verdict = c.decide(now, listed, err == nil, status, sourceFailedAt)
}

// decide returns the verdict of a check. The source takes precedence if it
// answers: a listed instance is vouched for unless it is not serving, and a
// missing one has left unless the source was unreachable until recently.
// Otherwise the instance must be serving, as it may also leave while it is cut
// off.
func (c *Checker) decide(now time.Time, listed, answered bool, status ServingStatus, sourceFailedAt time.Time) bool {
	if status == Serving {
		c.lastServing = now
	}
	serving := status == Serving || (status == StatusUnknown && now.Sub(c.lastServing) < RenewInterval)
	if !answered {
		return serving
	}
	if listed {
		return status != NotServing
	}
	lost := c.sourceLostAt
	if sourceFailedAt.After(lost) {
		lost = sourceFailedAt
	}
	return serving && !lost.IsZero() && now.Sub(lost) < relistGrace
}
