package sidecar

import (
	"testing"
	"time"
)

const (
	// maxStall is how long the process of a test may get no processor. Requests have
	// a second, so a third of it leaves their outcomes to the nodes.
	maxStall = time.Second / 3
	// maxStalledRuns bounds how often a run is repeated because of stalls.
	maxStalledRuns = 5
	// watchInterval is how often a stallWatch expects to run.
	watchInterval = 10 * time.Millisecond
)

// stallWatch measures the longest period in which the process did not run.
type stallWatch struct {
	done    chan struct{}
	longest chan time.Duration
}

func watchStalls() *stallWatch {
	w := &stallWatch{done: make(chan struct{}), longest: make(chan time.Duration)}
	go w.run()
	return w
}

func (w *stallWatch) run() {
	var longest time.Duration
	for last := time.Now(); ; last = time.Now() {
		select {
		case <-w.done:
			w.longest <- max(longest, time.Since(last))
			return
		case <-time.After(watchInterval):
			longest = max(longest, time.Since(last)-watchInterval)
		}
	}
}

// stop ends the watch and returns the longest stall.
func (w *stallWatch) stop() time.Duration {
	close(w.done)
	return <-w.longest
}

// withoutStalls returns what was observed in a run in which the process was never
// stalled: a node, its callers and targets share the process, so all requests in flight
// at a stall run out of time. Any other run says nothing of the nodes, whether its
// observations are as expected or not. After maxStalledRuns of them the test fails and
// says so.
func withoutStalls[T any](t *testing.T, run func() T) T {
	for n := 1; ; n++ {
		w := watchStalls()
		observed := run()
		stall := w.stop()
		if stall <= maxStall {
			return observed
		}
		if n == maxStalledRuns {
			t.Fatalf("no run to judge: the process was stalled in all %d, for %s in the last", n, stall)
		}
		t.Logf("run %d is void: the process was stalled for %s", n, stall)
	}
}
