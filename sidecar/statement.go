package sidecar

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/slots"
	"github.com/rotisserie/eris"
)

// minRateLimit is the lowest rate limit used, in requests per second. A target
// that states less, or zero, still gets one request in four seconds, because
// only an answer can show that the limit has ended.
const minRateLimit = 0.25

// errInvalidRateLimit is returned for a rate limit that is not a number of
// requests per second.
var errInvalidRateLimit = eris.New("rate limit is not a number of requests per second")

type (
	// statement is what one answer of the local target states about the
	// target.
	statement struct {
		rateLimit float64 // requests per second; 0 if none is stated
		invalid   bool    // a rate limit is stated, but it cannot be decoded
		leaving   bool
	}

	// targetRate holds the rate limit that the local target states, and applies
	// it. Safe for concurrent use.
	targetRate struct {
		gate *slots.Gate // of the local target

		mu        sync.Mutex
		of        directory.Incarnation // as listed
		by        directory.Sighting    // of the run that stated the limit or none
		answered  bool                  // the target has stated a valid limit, or none, since the node's start
		limit     float64               // requests per second; 0 for none
		limitedAt time.Time             // when the last answer with a rate limit arrived
	}
)

// parseStatement decodes what the header of an answer states about the target
// that sent it. The error is errInvalidRateLimit.
func parseStatement(h http.Header, headers call.Headers) (statement, error) {
	s := statement{leaving: headers.Leaving != "" && h.Get(headers.Leaving) == headers.LeavingValue}
	values := h.Values(headers.RateLimit)
	if len(values) == 0 {
		return s, nil
	}
	limit, err := strconv.ParseFloat(values[0], 64)
	if err != nil || len(values) > 1 || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		s.invalid = true
		return s, eris.Wrapf(errInvalidRateLimit, "%q", values)
	}
	s.rateLimit = max(limit, minRateLimit)
	return s, nil
}

// record applies a statement of the run of the target that answered a request
// sent at a given time, and returns the limit before and after.
//
// Answers on different connections arrive in any order, so the end of a rate
// limit is taken only from an answer to a request that was sent after the limit
// was last stated. An invalid limit leaves the one in force as it is.
func (t *targetRate) record(by directory.Sighting, st statement, sent time.Time) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	accepted := t.accept(by)
	before = t.limit
	if !accepted {
		return before, before
	}
	t.answered = t.answered || !st.invalid
	switch {
	case st.rateLimit > 0:
		t.limit, t.limitedAt = st.rateLimit, time.Now()
	case st.invalid:
		t.limitedAt = time.Now()
	case sent.After(t.limitedAt):
		t.limit = 0
	}
	t.apply(before)
	return before, t.limit
}

// adopt applies the rate limit that another node knows of a run of the target
// from before this node started, the lowest of several, until the target answers
// here. It returns the limit before and after.
func (t *targetRate) adopt(by directory.Sighting, known float64) (before, after float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	accepted := t.accept(by)
	before = t.limit
	if accepted && !t.answered && (before == 0 || known < before) {
		t.limit = known
	}
	t.apply(before)
	return before, t.limit
}

// begin makes a run of the target that is now listed the present one. What it
// stated before stays in force; what another run stated is discarded.
func (t *targetRate) begin(of directory.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.of == of {
		return
	}
	if !t.by.IsOfUnlisted(of) {
		t.discard()
	}
	t.of = of
}

// accept reports whether a statement is not one of a run before the present one.
// An instance with another ID has replaced the present one.
func (t *targetRate) accept(by directory.Sighting) bool {
	switch {
	case by.ID != t.of.ID:
		t.discard()
		t.of = directory.Incarnation{ID: by.ID}
	case !by.NotBefore(t.of):
		return false
	}
	if t.by.ID != by.ID || t.by.At < by.At {
		t.by = by
	}
	return true
}

func (t *targetRate) discard() {
	before := t.limit
	t.by, t.answered, t.limit, t.limitedAt = directory.Sighting{}, false, 0, time.Time{}
	t.apply(before)
}

// apply passes a changed limit to the gate.
func (t *targetRate) apply(before float64) {
	if t.limit != before {
		t.gate.SetRate(t.limit)
	}
}

// get returns the limit in force, 0 for none.
func (t *targetRate) get() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limit
}

// addTo sets the limit in force in the state that is reported with an answer,
// which may state the leaving of an earlier run.
func (t *targetRate) addTo(s *call.InstanceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.RateLimit = t.limit
	if !s.Leaving {
		s.UpAt = t.by.At
	}
}

// recordStatement records what an answer of the local target to a request sent at
// a given time states about the target, and returns it.
func (n *Node) recordStatement(r call.Request, by directory.Sighting, h http.Header, sent time.Time) statement {
	st, err := parseStatement(h, n.cfg.Headers)
	if err != nil {
		n.stats.countInvalidStatement()
		n.decisions.Log("rate_limit_invalid", func() log.Fields {
			return log.Fields{"id": r.ID, "instance": r.To, "error": err.Error()}
		})
	}
	before, after := n.targetRate.record(by, st, sent)
	n.logRateLimit(r, before, after)
	if st.leaving {
		n.dir.MarkLeaving(by)
	}
	return st
}

// adoptKnown applies what the sender of a request knows of the local target, in
// case this node has restarted and has not heard of it yet.
func (n *Node) adoptKnown(r call.Request) {
	if r.KnownRateLimit == 0 {
		return
	}
	by := directory.Sighting{ID: directory.InstanceID(r.To), At: r.KnownUpAt}
	if by.At == 0 {
		by.At = directory.UnixMilli(time.Now().UnixMilli()) // not sent by former versions
	}
	before, after := n.targetRate.adopt(by, r.KnownRateLimit)
	n.logRateLimit(r, before, after)
}

func (n *Node) logRateLimit(r call.Request, before, after float64) {
	if before == after {
		return
	}
	n.decisions.Log("rate_limit_changed", func() log.Fields {
		return log.Fields{"id": r.ID, "instance": r.To, "from_per_s": before, "to_per_s": after}
	})
}

// isOfFormerRun reports whether an answer came from a run of the target before
// the one that is listed.
func (n *Node) isOfFormerRun(by directory.Sighting) bool {
	self := n.self.Load()
	return self != nil && !by.NotBefore(self.Incarnation())
}

// targetLeaving reports whether the local target has stated that it leaves.
func (n *Node) targetLeaving() bool {
	self := n.self.Load()
	return self != nil && n.dir.HasStatedLeaving(self.Incarnation())
}
