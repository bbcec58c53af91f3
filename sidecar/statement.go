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

	// statements holds what the local target states about itself. Safe for
	// concurrent use.
	statements struct {
		mu        sync.Mutex
		of        directory.Incarnation
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
	if s.of != of {
		s.of, s.state, s.limitedAt = of, call.InstanceState{}, time.Time{}
	}
	before = s.state
	s.state.Leaving = s.state.Leaving || st.leaving
	switch {
	case st.rateLimit > 0:
		s.state.RateLimit, s.limitedAt = st.rateLimit, time.Now()
	case st.invalid:
		s.limitedAt = time.Now()
	case sent.After(s.limitedAt):
		s.state.RateLimit = 0
	}
	return before, s.state
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
	before, after := n.statements.record(n.incarnationOf(r.To), st, sent)
	if before.RateLimit != after.RateLimit {
		n.decisions.Log("rate_limit_changed", func() log.Fields {
			return log.Fields{"id": r.ID, "instance": r.To, "from_per_s": before.RateLimit, "to_per_s": after.RateLimit}
		})
	}
	if before.Leaving != after.Leaving {
		n.log.WithFields(log.Fields{"id": r.ID, "instance": r.To}).Info("target_leaving")
	}
}

// incarnationOf returns the run of the local target that a request sent to an
// instance reached.
func (n *Node) incarnationOf(id string) directory.Incarnation {
	if self := n.self.Load(); self != nil && string(self.ID) == id {
		return self.Incarnation()
	}
	return directory.Incarnation{ID: directory.InstanceID(id)}
}
