package quarantine

import (
	"slices"
	"time"
)

const (
	// isolateAfter is how many instances end under a request before it runs
	// isolated. All that is in progress at an instance that ends, a hundred
	// requests, becomes suspect; few of those are at the next end too, and
	// can run one at a time.
	isolateAfter = 2
	// quarantineAfter is how many end before it runs no more. The third, under
	// an isolated request, tells it from the others.
	quarantineAfter = 3
	// Term is how long a request is kept from all instances after the last
	// end. Whoever sends it may have mended it then, or the service may have
	// been: it may run isolated, and each such end doubles the term.
	Term = 10 * time.Minute
	// mostDoublings bounds that, to an hour and twenty minutes.
	mostDoublings = 3
	// forgetAfter is when a request under which no more instances ended is
	// forgotten.
	forgetAfter = 3 * time.Hour
	// otherTerm is the term for a caller under whose requests no instance ended,
	// while one proof speaks against another caller's. A caller is known by the
	// service beside which it sends only, and the same sender may come beside
	// any; what is harmless from this one is tried a minute later.
	otherTerm = time.Minute
	// endsOfOtherCause is how many instances must have ended without a request,
	// and without another that is known to end them, for one proof against it to
	// be too few: where instances end by themselves, one of some hundred
	// requests that run isolated is there when it happens.
	endsOfOtherCause = 3
	// settleTime is how long a request is kept from all instances after
	// quarantineAfter ends without a proof: all nodes know of the last one by
	// then, and the proof costs one instance, not one for each node that does
	// not know yet.
	settleTime = 1500 * time.Millisecond
	// mostEnds bounds the ends that are kept of one request: several times
	// those that decide.
	mostEnds = 16
)

// Stages of a request.
const (
	// Free requests run like any other.
	Free Stage = iota
	// Suspect requests run anywhere, but beside no isolated one.
	Suspect
	// Isolated requests run at one instance of their service and beside no
	// suspect: an end then says which of them it was.
	Isolated
	// Quarantined requests do not run.
	Quarantined
)

type (
	// Stage says how a request may run.
	Stage int

	// Caller is the service of the VM at which a request began. The same
	// content may be harmless from another caller.
	Caller string

	// EndID names one end of one instance; the node beside it draws it.
	EndID uint64

	// End is the end of an instance that ran a request.
	End struct {
		_msgpack struct{} `msgpack:",as_array"`
		ID       EndID
		Caller   Caller
		Alone    bool // the request ran beside no other suspect
		Cleared  bool // the request has run to an answer since
	}

	// evidence is what the other requests under which instances ended say about
	// the ends of one.
	evidence interface {
		// proves reports whether an end under the request, which ran isolated,
		// is its doing.
		proves(e *Record, end End) bool
		// othersEnd reports whether instances end without the request too, and
		// none that is known ends them.
		othersEnd(e *Record) bool
	}

	// Record is what is known of one request.
	Record struct {
		_msgpack struct{} `msgpack:",as_array"`
		Of       Fingerprint
		Ends     []End
		Sound    []Caller      // from whom it has run to an answer
		Age      time.Duration // since the last end
	}
)

// stage judges a request of a caller. From a caller from whom it has run to an
// answer, only ends since then count, and only its own.
func (r *Record) stage(c Caller, ev evidence) Stage {
	switch n := len(r.counting(c)); {
	case n == 0:
		return Free
	case n < isolateAfter:
		return Suspect
	case n < quarantineAfter || r.Age >= r.term(c, ev):
		return Isolated
	}
	return Quarantined
}

// term is how long after the last end a request of a caller does not run,
// where enough instances have ended. Instances may end by themselves while the
// same page is read at all of them, so the number alone is no proof: one of the
// ends must have come while the request ran isolated, and two where instances
// end by themselves. Ends under several callers' requests, or two proofs, speak
// against all callers; a single one speaks against another's for a short term.
func (r *Record) term(c Caller, ev evidence) time.Duration {
	ends := r.counting(c)
	own := slices.ContainsFunc(ends, func(e End) bool { return e.Caller == c })
	several := slices.ContainsFunc(ends, func(e End) bool { return e.Caller != ends[0].Caller })
	proofs := 0
	for _, e := range ends {
		if e.Alone && ev.proves(r, e) {
			proofs++
		}
	}
	switch {
	case proofs == 0 || (proofs == 1 && ev.othersEnd(r)):
		return settleTime
	case proofs == 1 && !own && !several:
		return otherTerm
	}
	return Term << min(proofs-1, mostDoublings)
}

// counting returns the ends that count for a caller.
func (r *Record) counting(c Caller) []End {
	sound := slices.Contains(r.Sound, c)
	var ends []End
	for _, e := range r.Ends {
		if !e.Cleared && (!sound || e.Caller == c) {
			ends = append(ends, e)
		}
	}
	return ends
}

// worst is the highest stage of any caller under whose requests instances
// ended.
func (r *Record) worst(ev evidence) Stage {
	worst := Free
	for _, e := range r.Ends {
		worst = max(worst, r.stage(e.Caller, ev))
	}
	return worst
}

// has reports whether the end counts as one under the request.
func (r *Record) has(id EndID) bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.ID == id && !e.Cleared })
}

// provedWithout reports whether an instance ended under a request that ran
// isolated where another was not in progress.
func (r *Record) provedWithout(other *Record) bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Alone && !e.Cleared && !other.has(e.ID) })
}

// alone reports whether an instance ended under the request while it ran
// isolated.
func (r *Record) alone() bool {
	return slices.ContainsFunc(r.Ends, func(e End) bool { return e.Alone && !e.Cleared })
}

// add takes over an end, or what is known besides of one, and reports whether
// that is news. Which was told first makes no difference.
func (r *Record) add(e End) bool {
	i := slices.IndexFunc(r.Ends, func(o End) bool { return o.ID == e.ID })
	if i < 0 {
		return r.insert(e)
	}
	old := &r.Ends[i]
	news := (e.Alone && !old.Alone) || (e.Cleared && !old.Cleared)
	old.Alone, old.Cleared = old.Alone || e.Alone, old.Cleared || e.Cleared
	return news
}

// insert puts an end in, in the place of one that counts no more if there are
// too many.
func (r *Record) insert(e End) bool {
	if len(r.Ends) < mostEnds {
		r.Ends = append(r.Ends, e)
		return true
	}
	i := slices.IndexFunc(r.Ends, func(o End) bool { return o.Cleared })
	if i < 0 || e.Cleared {
		return false
	}
	r.Ends[i] = e
	return true
}

// clear notes that the request has run to an answer for a caller, and reports
// whether that is news.
func (r *Record) clear(c Caller) bool {
	news := r.sound(c)
	for i := range r.Ends {
		if e := &r.Ends[i]; e.Caller == c && !e.Cleared {
			e.Cleared, news = true, true
		}
	}
	return news
}

func (r *Record) sound(c Caller) bool {
	if slices.Contains(r.Sound, c) {
		return false
	}
	r.Sound = append(r.Sound, c)
	return true
}

// Of returns the requests of which a Report tells.
func (r *Report) Of() []Fingerprint {
	fs := make([]Fingerprint, 0, len(r.Records))
	for _, told := range r.Records {
		fs = append(fs, told.Of)
	}
	return fs
}
