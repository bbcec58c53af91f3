package vouch

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// Term is how long a vouch is valid. An instance that leaves unannounced
	// may get requests for two more seconds, which bounds the sum of the
	// oldest check that a vouch is based on, its term and the transit time
	// of a request.
	Term = 1200 * time.Millisecond
	// RenewEvery is the interval at which a vouch is renewed: twice within
	// its term, so that one lost request does not end it.
	RenewEvery = 500 * time.Millisecond
	// checkTTL is how long the result of a check is reused, as all nodes
	// that use an instance ask at the same time.
	checkTTL = 400 * time.Millisecond
	// LookWait is the timeout of a check. A source that takes longer counts
	// as unreachable, and the probe of the target decides.
	LookWait = 250 * time.Millisecond
	// relistGrace is how long after the source is reachable again a live
	// instance may still be missing from the list. Instances report every
	// 1.5 s.
	relistGrace = 2 * time.Second
)

// Fitness is the result of a health check of the target.
type Fitness int

const (
	// Unknown means that the target did not respond, or was too busy to.
	Unknown Fitness = iota
	// Fit means that this instance is running and not leaving.
	Fit
	// Unfit means that it is leaving, failing, gone, or has been replaced.
	Unfit
)

type (
	// Config configures a Witness. Listed and Probe are called with a
	// timeout of LookWait.
	Config struct {
		// Listed asks the source directly whether an instance is listed. It
		// returns an error if the source did not answer.
		Listed func(ctx context.Context, id directory.InstanceID) (bool, error)
		// Probe asks the local target whether it is this instance and
		// healthy.
		Probe func(ctx context.Context, in directory.Instance) Fitness
		// SourceLost returns when other requests of this node to the source
		// last failed, or zero for never.
		SourceLost func() time.Time
	}

	// Witness decides whether this node vouches for its local instance. An
	// instance's registry entry is removed when it leaves, but also when its
	// reports do not reach the source. Only the node beside it can tell the
	// two apart: if the source answers and lacks the entry, the instance has
	// left; if the source does not answer, the entry may have expired, and a
	// probe of the instance decides. It is safe for concurrent use.
	Witness struct {
		cfg Config

		mu           sync.Mutex
		instance     *directory.Instance // as last listed
		ended        bool                // this start of the instance is over
		lastFit      time.Time           // last time the target was found fit
		sourceLostAt time.Time           // last time the source did not answer a check
		checkedAt    time.Time
		verdict      bool
		inProgress   chan struct{} // non-nil during a check; closed at its end
	}
)

// NewWitness returns a Witness that has seen no instance.
func NewWitness(cfg Config) *Witness { return &Witness{cfg: cfg} }

// See records the local instance as listed. A new start, a new revision or a
// leaving instance invalidates the last check.
func (w *Witness) See(in directory.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.instance == nil || w.instance.Start() != in.Start() || w.instance.Revision != in.Revision || in.Leaving {
		w.checkedAt, w.lastFit, w.ended = time.Time{}, time.Time{}, false
	}
	w.instance = &in
}

// Ended records that nothing listens at the target's address any more. A
// later instance at that address is a new start, even under the same ID, and
// is vouched for only once it is listed.
func (w *Witness) Ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.verdict = true, false
}

// Vouch reports whether this node vouches for a start of an instance for the
// next Term.
func (w *Witness) Vouch(ctx context.Context, at directory.Start) bool {
	for {
		w.mu.Lock()
		if w.instance == nil || w.instance.Start() != at || w.instance.Leaving || w.ended {
			w.mu.Unlock()
			return false
		}
		if time.Since(w.checkedAt) < checkTTL {
			defer w.mu.Unlock()
			return w.verdict
		}
		if w.inProgress == nil {
			w.inProgress = make(chan struct{})
			in := *w.instance
			w.mu.Unlock()
			w.check(ctx, in)
			continue
		}
		inProgress := w.inProgress
		w.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
			return false
		}
	}
}

// check queries the source and the target concurrently and stores the
// verdict.
func (w *Witness) check(ctx context.Context, in directory.Instance) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), LookWait)
	defer cancel()
	probed := make(chan Fitness, 1)
	go func() { probed <- w.cfg.Probe(ctx, in) }()
	listed, err := w.cfg.Listed(ctx, in.ID)
	fitness := <-probed
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.inProgress)
	w.inProgress = nil
	if w.instance == nil || w.instance.Start() != in.Start() {
		return
	}
	now := time.Now()
	w.checkedAt = now
	if err != nil {
		w.sourceLostAt = now
	}
	w.verdict = w.decide(now, listed, err == nil, fitness)
}

// decide returns the verdict of a check. The source takes precedence if it
// answers: a listed instance is vouched for unless it is unfit, and a
// missing one has left unless the source was unreachable until recently.
// Otherwise the instance must be fit, as it may also leave while it is cut
// off.
func (w *Witness) decide(now time.Time, listed, answered bool, fitness Fitness) bool {
	if fitness == Fit {
		w.lastFit = now
	}
	fit := fitness == Fit || (fitness == Unknown && now.Sub(w.lastFit) < RenewEvery)
	if !answered {
		return fit
	}
	if listed {
		return fitness != Unfit
	}
	lost := w.sourceLostAt
	if at := w.cfg.SourceLost(); at.After(lost) {
		lost = at
	}
	return fit && !lost.IsZero() && now.Sub(lost) < relistGrace
}
