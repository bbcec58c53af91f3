package sidecar

import (
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	// ruleRatio and ruleSlack are how many requests a target may get in
	// ruleWindow: ruleRatio times what its rate limit allows, plus ruleSlack.
	ruleRatio  = 1.5
	ruleSlack  = 5
	ruleWindow = 4 * time.Second
	// tellTime is how long after its first answer with a rate limit a target
	// may get requests without regard to it.
	tellTime = 500 * time.Millisecond
	// drainBound is how long after its first answer that states that it leaves
	// a target may get new requests.
	drainBound = 2 * time.Second
)

// limitedTarget is a handler of a fakeTarget that states a rate limit and
// whether it leaves, and records the requests that it gets.
type limitedTarget struct {
	serviceTime time.Duration

	mu       sync.Mutex
	limit    string // empty for none
	leaving  bool
	stated   time.Time // when an answer first stated something
	arrivals []time.Time
}

func (l *limitedTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	l.arrivals = append(l.arrivals, time.Now())
	l.mu.Unlock()
	time.Sleep(l.serviceTime)
	l.mu.Lock()
	if l.limit != "" {
		w.Header().Set(testHeaders.RateLimit, l.limit)
	}
	if l.leaving {
		w.Header().Set(testHeaders.Leaving, testHeaders.LeavingValue)
	}
	if l.stated.IsZero() && (l.limit != "" || l.leaving) {
		l.stated = time.Now()
	}
	l.mu.Unlock()
	writeSigned(w, r, http.StatusOK, "")
}

func (l *limitedTarget) setLimit(limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit = limit
}

func (l *limitedTarget) setLeaving(leaving bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving = leaving
}

// arrivedSince returns how many requests arrived later than a period after the
// first answer that stated something.
func (l *limitedTarget) arrivedSince(period time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, at := range l.arrivals {
		if !l.stated.IsZero() && at.After(l.stated.Add(period)) {
			n++
		}
	}
	return n
}

// mostInWindow returns the highest number of requests that arrived within
// ruleWindow, of those later than tellTime after the first answer with a rate
// limit.
func (l *limitedTarget) mostInWindow() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := 0
	for i, first := range l.arrivals {
		if first.Before(l.stated.Add(tellTime)) {
			continue
		}
		n := 0
		for _, at := range l.arrivals[i:] {
			if at.Sub(first) <= ruleWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// limitTargets makes the targets of some VMs limitedTargets.
func limitTargets(vms []*vm, serviceTime time.Duration) []*limitedTarget {
	targets := make([]*limitedTarget, len(vms))
	for i, v := range vms {
		targets[i] = &limitedTarget{serviceTime: serviceTime}
		v.target.handleWith(targets[i].ServeHTTP)
	}
	return targets
}

// load sends requests from callers at all nodes, each with a pause between its
// requests, for a period. It returns how many requests got each status code.
func (m *mesh) load(path string, callersPerNode int, pause, period time.Duration) map[int]int {
	return m.loadFrom(m.vms, path, callersPerNode, pause, period)
}

// loadFrom is load from callers at some nodes only.
func (m *mesh) loadFrom(vms []*vm, path string, callersPerNode int, pause, period time.Duration) map[int]int {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		codes = map[int]int{}
		until = time.Now().Add(period)
	)
	for _, v := range vms {
		for range callersPerNode {
			wg.Go(func() {
				for time.Now().Before(until) {
					_, got := m.get(v, path)
					mu.Lock()
					codes[got.code]++
					mu.Unlock()
					time.Sleep(pause)
				}
			})
		}
	}
	wg.Wait()
	return codes
}

// Guards against instances that get more requests from all nodes together than
// the rate limit that they state, while others of their service have room.
func TestRateLimitsOfInstancesHoldOverAllNodes(t *testing.T) {
	Convey("Two of four instances are limited: they get what they take, and no request is refused", t, func() {
		var targets []*limitedTarget
		codes := withoutStalls(t, func() map[int]int {
			m := newMesh(t, "versand", "versand", "archiv", "archiv", "archiv", "archiv")
			targets = limitTargets(m.vms[2:], 20*time.Millisecond)
			m.load("/read/x", 2, 20*time.Millisecond, 500*time.Millisecond)
			targets[0].setLimit("6.5")
			targets[1].setLimit("0.5")
			return m.load("/read/x", 3, 20*time.Millisecond, 5*time.Second)
		})
		So(codes, ShouldResemble, map[int]int{http.StatusOK: codes[http.StatusOK]})
		So(targets[0].mostInWindow(), ShouldBeLessThanOrEqualTo, int(ruleRatio*6.5*ruleWindow.Seconds())+ruleSlack)
		So(targets[1].mostInWindow(), ShouldBeLessThanOrEqualTo, int(ruleRatio*0.5*ruleWindow.Seconds())+ruleSlack)
		So(targets[0].arrivedSince(tellTime), ShouldBeGreaterThan, 0)
	})
}

// Guards against requests to an instance that has stated in an answer that it
// leaves, while the directory does not list it as leaving.
func TestInstanceThatStatesItLeavesGetsNoNewRequests(t *testing.T) {
	m := newMesh(t, "versand", "versand", "archiv", "archiv")
	Convey("Requests go to the other instance", t, func() {
		targets := limitTargets(m.vms[2:], time.Millisecond)
		targets[0].leaving = true
		codes := m.load("/read/x", 1, 10*time.Millisecond, drainBound+500*time.Millisecond)
		So(codes, ShouldResemble, map[int]int{http.StatusOK: codes[http.StatusOK]})
		So(targets[0].stated.IsZero(), ShouldBeFalse)
		So(targets[0].arrivedSince(drainBound), ShouldEqual, 0)
	})
}

// Guards against a service that goes on refusing requests after the rate limits
// of its instances have ended.
func TestServiceRecoversAfterRateLimitsEnd(t *testing.T) {
	Convey("All requests are served again within three seconds", t, func() {
		var limited map[int]int
		codes := withoutStalls(t, func() map[int]int {
			m := newMesh(t, "versand", "versand", "archiv", "archiv")
			targets := limitTargets(m.vms[2:], 5*time.Millisecond)
			for _, l := range targets {
				l.setLimit("0.5")
			}
			limited = m.load("/read/x", 4, 10*time.Millisecond, 4*time.Second)
			for _, l := range targets {
				l.setLimit("")
			}
			m.load("/read/x", 4, 10*time.Millisecond, 3*time.Second)
			return m.load("/read/x", 4, 10*time.Millisecond, time.Second)
		})
		So(limited[http.StatusServiceUnavailable], ShouldBeGreaterThan, 0)
		So(codes, ShouldResemble, map[int]int{http.StatusOK: codes[http.StatusOK]})
	})
}
