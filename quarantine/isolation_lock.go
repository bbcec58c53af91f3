package quarantine

import (
	"context"
	"math"
	"time"

	"golang.org/x/sync/semaphore"
)

// IsolationLock keeps an isolated request at an instance from running
// concurrently with suspect or other isolated requests. Waiters are served in
// order of arrival. It is safe for concurrent use.
type IsolationLock struct {
	sem *semaphore.Weighted
}

// NewIsolationLock returns an unlocked IsolationLock.
func NewIsolationLock() *IsolationLock {
	return &IsolationLock{sem: semaphore.NewWeighted(math.MaxInt64)}
}

// Acquire waits until a request at stage s may run, and reports whether it
// may. It gives up after timeout or when ctx is done. If ok, the caller must
// call release when the request has finished.
func (l *IsolationLock) Acquire(ctx context.Context, s Stage, timeout time.Duration) (release func(), ok bool) {
	if s == Free {
		return func() {}, true
	}
	n := int64(1)
	if s == Isolated {
		n = math.MaxInt64
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if l.sem.Acquire(ctx, n) != nil {
		return nil, false
	}
	return func() { l.sem.Release(n) }, true
}
