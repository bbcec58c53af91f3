package budget

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// tier is one service of a call chain: the retry windows of the nodes that
// call it, and the requests that arrived.
type tier struct {
	senders  []*RetryWindow
	requests int
	retries  int
}

// chainOfTiers returns a chain of depth services, each called by the one
// before it from the given number of nodes.
func chainOfTiers(depth, nodes int, cfg RetryWindowConfig) []*tier {
	var tiers []*tier
	for range depth {
		t := &tier{}
		for range nodes {
			t.senders = append(t.senders, NewRetryWindow(cfg))
		}
		tiers = append(tiers, t)
	}
	return tiers
}

// send sends one request to the first tier. Its response is lost with
// probability lossRate, and a lost request is retried if the window allows
// it. isRetry means that the request descends from a retry.
func send(r *rand.Rand, tiers []*tier, lossRate float64, isRetry bool) {
	if len(tiers) == 0 {
		return
	}
	t := tiers[0]
	// Retries are served by the healthy quarter of the instances, so the
	// calls they make come from the nodes of those only.
	i := r.IntN(len(t.senders) * 3 / 4)
	if isRetry {
		i = len(t.senders) - 1 - i/3
	}
	w := t.senders[i]
	t.requests++
	if isRetry {
		t.retries++
		w.CountInheritedRetry()
	} else {
		w.CountFirstTry()
	}
	send(r, tiers[1:], lossRate, isRetry)
	if r.Float64() < lossRate && w.TryRetry() {
		t.retries++
		send(r, tiers[1:], lossRate, true)
	}
}

// Three quarters of the instances lose responses, in a chain four calls
// deep. Nodes with healthy instances send the calls made by retries and need
// no retries of their own, while the other nodes see only first tries and
// use their full ratio. So the retries of all tiers add up at the last one,
// and the ratio per node must be at most a quarter of the limit of a fifth per
// service.
func TestRetriesOfCallChainStayWithinRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Retries stay under a fifth at each tier, and nodes use the allowed ratio", t, func() {
			r := rand.New(rand.NewPCG(1, 2))
			// Ratio and MinRetries are those of the production configuration.
			tiers := chainOfTiers(4, 16, RetryWindowConfig{Span: 10 * time.Second, Ratio: 0.05, MinRetries: 2})
			for range 20000 {
				send(r, tiers, 0.4, false)
				time.Sleep(time.Millisecond)
			}
			for _, t := range tiers {
				So(float64(t.retries), ShouldBeLessThan, 0.2*float64(t.requests))
			}
			So(float64(tiers[0].retries), ShouldBeGreaterThan, 0.045*float64(tiers[0].requests))
		})
	})
}
