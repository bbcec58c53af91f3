package soak

import (
	"net/http"
	"strconv"
	"time"
)

type (
	// statements is what a Target states about itself in its answers, and the
	// requests that it gets meanwhile. Guarded by the Target's mutex.
	statements struct {
		rateLimit    string        // header value; empty for none
		limits       []limitChange // in order of time
		leavingSince time.Time     // zero unless it leaves
		arrivals     []arrival
	}

	// limitChange is a change of the rate limit in force.
	limitChange struct {
		at        time.Time
		text      string // as stated
		perSecond float64
		none      bool
	}

	// arrival is a request that a Target got.
	arrival struct {
		id string
		at time.Time
	}
)

// SetRateLimit makes the target state a rate limit, which may be malformed; an
// empty text ends it. A malformed one leaves the limit in force as it is.
func (t *Target) SetRateLimit(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rateLimit = text
	limit, valid := parseRateLimit(text)
	switch {
	case text == "":
		t.limits = append(t.limits, limitChange{at: time.Now(), none: true})
	case valid:
		t.limits = append(t.limits, limitChange{at: time.Now(), text: text, perSecond: limit})
	case len(t.limits) > 0:
		last := t.limits[len(t.limits)-1]
		last.at, last.text = time.Now(), text
		t.limits = append(t.limits, last)
	}
}

// parseRateLimit decodes the header value of a rate limit; valid is false if it
// is malformed.
func parseRateLimit(text string) (perSecond float64, valid bool) {
	limit, err := strconv.ParseFloat(text, 64)
	return limit, err == nil && limit >= 0
}

// SetLeaving makes the target state that it leaves.
func (t *Target) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leavingSince.IsZero() {
		t.leavingSince = time.Now()
	}
}

func (t *Target) writeStatements(h http.Header) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rateLimit != "" {
		h.Set(t.headers.RateLimit, t.rateLimit)
	}
	if !t.leavingSince.IsZero() {
		h.Set(t.headers.Leaving, t.headers.LeavingValue)
	}
}
