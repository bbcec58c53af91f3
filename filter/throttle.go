package filter

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
)

const (
	// throttleMemory is the time constant with which a tally forgets.
	throttleMemory = 500 * time.Millisecond
	// throttleRoom is how many calls are passed for each one accepted: the
	// room lets the accepted share grow by itself when the cause is gone.
	throttleRoom = 2
	// throttleSlack is how many calls beyond that are passed, so that a few
	// refusals at a low rate throttle nothing.
	throttleSlack = 5
	// throttleStreak is how many calls in a row must be accepted for the
	// shedding to count as over: at throttleRoom about half are refused
	// while it lasts, so a streak of eight is one in 256.
	throttleStreak = 8
)

// Throttle refuses sheddable calls that a service deeper in the graph would
// refuse anyway. Without it overload in one service spreads: each refused
// read has first taken slots and time at every service above the one that
// sheds, at the moment all are short of both. Each operation is passed at
// throttleRoom times the rate at which its calls are accepted below, so
// the shedding service still gets all it can take.
type Throttle struct {
	mu      sync.Mutex
	tallies map[string]*tally // by operation
}

// tally counts an operation's calls; both counts fade over throttleMemory.
type tally struct {
	asked    float64
	accepted float64
	streak   int           // accepted in a row
	after    time.Duration // come-back time of the last refusal below
	at       time.Time
}

// NewThrottle returns a Throttle that has seen no call.
func NewThrottle() *Throttle { return &Throttle{tallies: map[string]*tally{}} }

// Filter returns the throttling step of the chain; it stands last, before
// the target.
func (t *Throttle) Filter() Filter {
	return func(next Handler) Handler {
		return HandlerFunc(func(ctx context.Context, c *Call) call.Answer {
			if c.Op.Class != call.Sheddable {
				return next.Serve(ctx, c)
			}
			if after, ok := t.pass(c.Op.Name); !ok {
				return call.Refuse(*c.Request, "a service below is shedding these calls", after)
			}
			a := next.Serve(ctx, c)
			t.answered(c.Op.Name, a)
			return a
		})
	}
}

// pass counts a call and says whether it may go on, and if not when to come
// back.
func (t *Throttle) pass(op string) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ta := t.tally(op)
	excess := ta.asked - throttleRoom*ta.accepted - throttleSlack
	refuse := rand.Float64() < excess/(ta.asked+1)
	ta.asked++
	return max(MinRetryAfter, ta.after), !refuse
}

func (t *Throttle) answered(op string, a call.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ta := t.tally(op)
	// A leaving target refuses for itself, and routers must go on being told
	// so by its refusals.
	if a.Status == call.NotRun && !a.Leaving {
		ta.after = a.RetryAfter
		ta.streak = 0
		return
	}
	ta.accepted++
	ta.streak++
	if ta.streak >= throttleStreak {
		ta.asked = ta.accepted
	}
}

// tally returns the operation's tally, faded to now.
func (t *Throttle) tally(op string) *tally {
	now := time.Now()
	ta := t.tallies[op]
	if ta == nil {
		ta = &tally{at: now}
		t.tallies[op] = ta
	}
	fade := math.Exp(-now.Sub(ta.at).Seconds() / throttleMemory.Seconds())
	ta.asked *= fade
	ta.accepted *= fade
	ta.at = now
	return ta
}
