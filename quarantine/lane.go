package quarantine

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/semaphore"
)

// Lane keeps isolated requests at one instance from each other and from other
// suspects, in the order in which they come.
type Lane struct {
	sem *semaphore.Weighted
}

// NewLane returns a Lane that is empty.
func NewLane() *Lane { return &Lane{sem: semaphore.NewWeighted(math.MaxInt64)} }

// Enter waits until a request of a stage may run, for some time or until ctx
// ends, and reports whether it may; leave must be called then when it has run.
func (l *Lane) Enter(ctx context.Context, s Stage, wait time.Duration) (leave func(), ok bool) {
	if s == Free {
		return func() {}, true
	}
	n := int64(1)
	if s == Isolated {
		n = math.MaxInt64
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if l.sem.Acquire(ctx, n) != nil {
		return nil, false
	}
	return func() { l.sem.Release(n) }, true
}
