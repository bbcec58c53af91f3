package balance

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/oatpin/oatpin/directory"
)

const (
	// maxRateBackoff bounds how long an instance is avoided after it refused
	// requests because of its rate limit, and so how late its end is noticed.
	maxRateBackoff = 2 * time.Second
	// rateWaitCost is the cost of an instance, per second that its rate limit
	// delays the next request, for a request that waits for it.
	rateWaitCost = 5.0
	// rateLimitMemory is how long the rate limit of an instance is remembered
	// that is no longer listed, since it may be listed again.
	rateLimitMemory = time.Minute
)

// rateBackoff returns how long an instance is avoided that refused requests in a
// row because of its rate limit, the last with the given wait. It grows with
// their number, because the more nodes share a limit, the fewer of them can use
// what it allows next, and is random so that they do not all ask at once.
func rateBackoff(wait time.Duration, refusals int) time.Duration {
	d := min(time.Duration(refusals)*wait, maxRateBackoff)
	return d/2 + rand.N(d/2+1)
}

// isRateLimited reports whether the instance recently stated a rate limit.
func (s *instanceState) isRateLimited() bool {
	return s.rateLimit > 0 && time.Since(s.reportedAt) < rateLimitMemory
}

// adoptRateLimit applies to a run that is listed now what it stated when another
// was listed, whose state is given.
func (b *Balancer) adoptRateLimit(of directory.Incarnation, former *instanceState) {
	stated := directory.Sighting{ID: of.ID, At: former.rateLimitUpAt}
	if !stated.IsOfUnlisted(of) {
		return
	}
	s := b.state(of)
	if !s.reportedAt.Before(former.reportedAt) {
		return
	}
	s.rateLimit, s.rateLimitUpAt, s.reportedAt = former.rateLimit, former.rateLimitUpAt, former.reportedAt
	s.avoidUntil, s.rateRefusals, s.rateFreeAt = former.avoidUntil, former.rateRefusals, former.rateFreeAt
}

// reportedRequests returns the number of requests that the instance's node last
// reported. At a rate limit it falls to zero within maxRateBackoff: the capacity
// is so small that a queue once reported would keep all requests away, and with
// them the answer that shows the end of the limit.
func (s *instanceState) reportedRequests(now time.Time) int {
	n := s.load.InFlight + s.load.Queued
	if s.rateLimit == 0 {
		return n
	}
	left := 1 - float64(now.Sub(s.reportedAt))/float64(maxRateBackoff)
	return int(math.Ceil(float64(n) * max(left, 0)))
}
