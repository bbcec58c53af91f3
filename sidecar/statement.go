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

	// statements holds what the local target states about itself and applies
	// its rate limit. Safe for concurrent use.
	statements struct {
		gate *slots.Gate // of the local target

		mu        sync.Mutex
		of        directory.Incarnation
		answered  bool // the target has stated a valid limit, or none, since the node's start
		state     call.InstanceState
		limitedAt time.Time // when the last answer with a rate limit arrived
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

// record applies a statement of a run of the target in an answer to a request
// sent at a given time, and returns the state before and after.
//
// Answers on different connections arrive in any order, so the end of a rate
// limit is taken only from an answer to a request that was sent after the limit
// was last stated. An invalid limit leaves the one in force as it is.
func (s *statements) record(of directory.Incarnation, st statement, sent time.Time) (before, after call.InstanceState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginLocked(of)
	before = s.state
	s.answered = s.answered || !st.invalid
	s.state.Leaving = s.state.Leaving || st.leaving
	switch {
	case st.rateLimit > 0:
		s.state.RateLimit, s.limitedAt = st.rateLimit, time.Now()
	case st.invalid:
		s.limitedAt = time.Now()
	case sent.After(s.limitedAt):
		s.state.RateLimit = 0
	}
	s.apply(before)
	return before, s.state
}

// adopt applies the rate limit that another node knows of the target from before
// this node started, the lowest of several, until the target answers here. It
// returns the state before and after.
func (s *statements) adopt(of directory.Incarnation, known call.InstanceState) (before, after call.InstanceState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginLocked(of)
	before = s.state
	if !s.answered && (before.RateLimit == 0 || known.RateLimit < before.RateLimit) {
		s.state.RateLimit = known.RateLimit
	}
	s.apply(before)
	return before, s.state
}

// begin discards what an earlier run of the target stated.
func (s *statements) begin(of directory.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beginLocked(of)
}

func (s *statements) beginLocked(of directory.Incarnation) {
	if s.of == of {
		return
	}
	// A node whose directory does not list its target yet knows only its ID.
	if s.of.ID != of.ID || (s.of.At != 0 && of.At != 0) {
		before := s.state
		s.answered, s.state, s.limitedAt = false, call.InstanceState{}, time.Time{}
		s.apply(before)
	}
	s.of = of
}

// apply passes a changed rate limit to the gate.
func (s *statements) apply(before call.InstanceState) {
	if s.state.RateLimit != before.RateLimit {
		s.gate.SetRate(s.state.RateLimit)
	}
}

// get returns what the target states.
func (s *statements) get() call.InstanceState {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// recordStatement records what an answer of the local target to a request sent
// at a given time states about the target.
func (n *Node) recordStatement(r call.Request, h http.Header, sent time.Time) {
	st, err := parseStatement(h, n.cfg.Headers)
	if err != nil {
		n.stats.countInvalidStatement()
		n.decisions.Log("rate_limit_invalid", func() log.Fields {
			return log.Fields{"id": r.ID, "instance": r.To, "error": err.Error()}
		})
	}
	of := n.incarnationOf(r.To)
	before, after := n.statements.record(of, st, sent)
	n.logRateLimit(r, before, after)
	if before.Leaving != after.Leaving {
		n.dir.MarkLeaving(of)
	}
}

// adoptKnown applies what the sender of a request knows of the local target, in
// case this node has restarted and has not heard of it yet.
func (n *Node) adoptKnown(r call.Request) {
	if r.Known.RateLimit == 0 {
		return
	}
	before, after := n.statements.adopt(n.incarnationOf(r.To), r.Known)
	n.logRateLimit(r, before, after)
}

func (n *Node) logRateLimit(r call.Request, before, after call.InstanceState) {
	if before.RateLimit == after.RateLimit {
		return
	}
	n.decisions.Log("rate_limit_changed", func() log.Fields {
		return log.Fields{"id": r.ID, "instance": r.To, "from_per_s": before.RateLimit, "to_per_s": after.RateLimit}
	})
}

// incarnationOf returns the run of the local target that a request sent to an
// instance reached.
func (n *Node) incarnationOf(id string) directory.Incarnation {
	if self := n.self.Load(); self != nil && string(self.ID) == id {
		return self.Incarnation()
	}
	return directory.Incarnation{ID: directory.InstanceID(id)}
}
