package main

import (
	"errors"
	"strings"
	"sync"
	"time"
)

const (
	rounds      = 6
	configApply = 2 * time.Second
	// stability is the time without disruption after which a machine is in touch.
	stability = 3 * time.Second
	// slowFactor is how many times as long the answers of a slow store take.
	slowFactor = 60
	// probeTime is how long the configuration in force is probed in a round.
	probeTime = 8 * time.Second
	// writeAfterCut is when the operator writes. The readers ask for the list from
	// half an answer of the slow store after the cut on, and for the configuration
	// from a whole one on.
	writeAfterCut   = 500 * time.Millisecond
	trafficInterval = 200 * time.Millisecond
	workTime        = 20 * time.Millisecond
)

// stale changes the configuration while the readers load the store again after it
// has dropped its history. A node that runs requests by the old route later than
// ConfigApply after the acknowledgement breaks the rule CONFIG.
func stale(f *fleet, trouble bool) (bool, error) {
	f.publishMoved(1, movedTo(1))
	for i := range 12 {
		zone, service := []string{"halle-nord", "halle-sued", "halle-west"}[i/4], []string{"archiv", "versand"}[i%2]
		if err := f.add(zone, service, workTime); err != nil {
			return false, err
		}
	}
	if err := f.startAll(); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for _, n := range f.nodes {
		wg.Go(func() { f.traffic(n, stop) })
	}
	time.Sleep(4 * time.Second)
	broken, err := false, error(nil)
	for round := 0; round < rounds && !broken && err == nil; round++ {
		broken, err = f.staleRound(1+2*round, trouble)
	}
	close(stop)
	wg.Wait()
	return broken, err
}

// staleRound publishes two versions after the given one. The second moves the
// route, and the nodes are probed once they are in touch again.
func (f *fleet) staleRound(version int, trouble bool) (bool, error) {
	before, after := movedTo(version), movedTo(version+2)
	if trouble {
		f.rec.line("the store is slow: %v an answer", slowFactor*baseDelay)
		f.store.setDelay(slowFactor * baseDelay)
		time.Sleep(500 * time.Millisecond)
		f.rec.line("the watches hear nothing")
		f.store.mute()
	}
	time.Sleep(500 * time.Millisecond)
	f.publishMoved(version+1, before)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		f.rec.line("the history is dropped, the watches are cut")
		f.store.forget()
	}
	// The readers watch again, learn that the history is gone, and load the list of
	// instances and then the configuration. The operator writes meanwhile.
	time.Sleep(writeAfterCut)
	f.publishMoved(version+2, after)
	acked := time.Now()
	time.Sleep(time.Second)
	f.rec.line("the store is as usual")
	f.store.setDelay(baseDelay)
	time.Sleep(max(stability, configApply) + 500*time.Millisecond)
	return f.probe(acked, before, after)
}

// movedTo returns the service to which the route leads in every odd version.
func movedTo(version int) string {
	if version%4 == 1 {
		return "archiv"
	}
	return "versand"
}

// publishMoved writes a version of the configuration in which the route /moved/
// leads to a service.
func (f *fleet) publishMoved(version int, service string) {
	paths := []path{
		{Name: "r-moved", Prefix: "/moved/", Kind: "non_idempotent", Timeout: "1500ms", TargetLatency: "1000ms", Service: service, MaxAttempts: 2},
		{Name: "r-kept", Prefix: "/kept/", Kind: "idempotent", Timeout: "1500ms", TargetLatency: "1000ms", Priority: 1, Service: "archiv", MaxAttempts: 2},
	}
	rev := f.store.put("op/config", newConfig(version, []string{"archiv", "versand"}, paths))
	f.rec.line("version r%d acknowledged at revision %d: /moved/ leads to %s", version, rev, service)
}

// traffic sends a request every trafficInterval until stop is closed.
func (f *fleet) traffic(n *node, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(trafficInterval):
			f.send(n, "GET", "/kept/x", nil, 2*time.Second)
		}
	}
}

// probe sends requests on the moved route to all nodes, and reports whether one
// was run by the service before, which only older versions allow.
func (f *fleet) probe(acked time.Time, before, after string) (bool, error) {
	first, current, old := time.Since(acked), 0, map[string]int{}
	for until := time.Now().Add(probeTime); time.Now().Before(until); time.Sleep(time.Second) {
		for _, n := range f.nodes {
			a := f.send(n, "POST", "/moved/x", []byte("x"), 2*time.Second)
			switch {
			case a.status == 200 && strings.HasPrefix(a.body, after+" "):
				current++
			case a.status == 200 && strings.HasPrefix(a.body, before+" "):
				old[n.name]++
			}
		}
	}
	for name, count := range old {
		f.rec.line("%s handled %d requests as only an older version allows, the first %.1f s after the newest was acknowledged", name, count, first.Seconds())
	}
	if current == 0 && len(old) == 0 {
		return false, errors.New("no request on the moved route was served")
	}
	return len(old) > 0, nil
}
