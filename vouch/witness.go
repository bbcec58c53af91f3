package vouch

import (
	"context"
	"sync"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// Term is how long a vouch holds. An instance that leaves without a word
	// may get requests for two seconds more; the oldest look that a vouch
	// rests on, its term and a request's way stay within that.
	Term = 1200 * time.Millisecond
	// RenewEvery is how often a vouch is asked for again: twice within its
	// term, so that one lost question does not end it.
	RenewEvery = 500 * time.Millisecond
	// lookKept is how long a look at the source and the target serves all
	// that ask: the nodes that use an instance ask in the same moment.
	lookKept = 400 * time.Millisecond
	// LookWait bounds one look. The source answers in milliseconds, and in a
	// fifth of a second when it is slow; one that takes longer counts as out
	// of reach, and then the target's own word decides.
	LookWait = 250 * time.Millisecond
	// relistTime is how long after the source is back in reach a live
	// instance may still be missing: it reports every second and a half, and
	// is back within about two seconds.
	relistTime = 2 * time.Second
)

// Fitness is what a target's health check tells.
type Fitness int

const (
	// Unknown means that the target did not say: it was too busy, or silent.
	Unknown Fitness = iota
	// Fit means that this very instance is there and not leaving.
	Fit
	// Unfit means that it is leaving, failing, gone, or another one.
	Unfit
)

type (
	// Config is what a Witness is built from; both functions are given
	// LookWait.
	Config struct {
		// Listed asks the source, nobody else, whether an instance is listed.
		// An error means that it did not answer.
		Listed func(ctx context.Context, id directory.InstanceID) (bool, error)
		// Probe asks the local target whether it is this instance and well.
		Probe func(ctx context.Context, in directory.Instance) Fitness
		// SourceLost returns when the source was last known not to answer
		// this node's other questions; zero for never.
		SourceLost func() time.Time
	}

	// Witness is the node's knowledge of its own instance. An entry goes when
	// an instance has left, and also when the instance is cut off from the
	// source and its reports do not arrive. Other nodes cannot tell the two
	// apart; this one can: if the source answers here and lacks the entry,
	// the instance has left; if it does not answer, the entry lapsed, and the
	// instance itself says whether it is there. It is safe for concurrent use.
	Witness struct {
		cfg Config

		mu     sync.Mutex
		seen   *directory.Instance // as last listed
		ended  bool                // and is no more
		fitAt  time.Time           // when it was last found fit
		lostAt time.Time           // when the source last did not answer a look
		looked time.Time
		word   bool
		busy   chan struct{} // a look is going on; closed at its end
	}
)

// NewWitness returns a Witness that has seen no instance.
func NewWitness(cfg Config) *Witness { return &Witness{cfg: cfg} }

// See notes the local instance as it is listed. One that starts anew, or
// leaves, ends what was said of it before.
func (w *Witness) See(in directory.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.seen == nil || w.seen.Start() != in.Start() || w.seen.Revision != in.Revision || in.Leaving {
		w.looked, w.fitAt, w.ended = time.Time{}, time.Time{}, false
	}
	w.seen = &in
}

// Ended notes that nothing listens at the target's address: this start of it
// is over. What answers there later is another one, also under the same id,
// and is vouched for when it is listed.
func (w *Witness) Ended() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended, w.word = true, false
}

// Vouch reports whether this node vouches for a start of an instance for the
// next Term.
func (w *Witness) Vouch(ctx context.Context, at directory.Start) bool {
	for {
		w.mu.Lock()
		if w.seen == nil || w.seen.Start() != at || w.seen.Leaving || w.ended {
			w.mu.Unlock()
			return false
		}
		if time.Since(w.looked) < lookKept {
			defer w.mu.Unlock()
			return w.word
		}
		if w.busy == nil {
			w.busy = make(chan struct{})
			in := *w.seen
			w.mu.Unlock()
			w.look(ctx, in)
			continue
		}
		busy := w.busy
		w.mu.Unlock()
		select {
		case <-busy:
		case <-ctx.Done():
			return false
		}
	}
}

// look asks the source and the target at once and notes what follows.
func (w *Witness) look(ctx context.Context, in directory.Instance) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), LookWait)
	defer cancel()
	fit := make(chan Fitness, 1)
	go func() { fit <- w.cfg.Probe(ctx, in) }()
	listed, err := w.cfg.Listed(ctx, in.ID)
	f := <-fit
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.busy)
	w.busy = nil
	if w.seen == nil || w.seen.Start() != in.Start() {
		return
	}
	now := time.Now()
	w.looked = now
	if err != nil {
		w.lostAt = now
	}
	w.word = w.decide(now, listed, err == nil, f)
}

// decide is the whole rule. The source's word goes first where it answers:
// an entry that is there is the instance's own, and one that is missing while
// the source has long been in reach was removed. Otherwise the instance must
// be found fit: one may also leave while it is cut off.
func (w *Witness) decide(now time.Time, listed, answered bool, f Fitness) bool {
	if f == Fit {
		w.fitAt = now
	}
	fit := f == Fit || (f == Unknown && now.Sub(w.fitAt) < RenewEvery)
	if !answered {
		return fit
	}
	if listed {
		return f != Unfit
	}
	lost := w.lostAt
	if at := w.cfg.SourceLost(); at.After(lost) {
		lost = at
	}
	return fit && !lost.IsZero() && now.Sub(lost) < relistTime
}
