package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// awayTime is how long the store is away before it comes back from a copy.
	awayTime = time.Second
	// beatInterval is how often instances write their entries; after the store came
	// back each writes its own once more within it.
	beatInterval = 1500 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 200 * time.Millisecond
)

// restored restarts a node after the store came back from a copy that lacks the
// newest configuration, and before the operator writes it again. A node that runs
// requests by the old route later than ConfigApply after the second acknowledgement
// breaks the rule CONFIG.
func restored(f *fleet, trouble bool) (bool, error) {
	f.seedless = true
	f.publishMoved(1, "archiv")
	for i := range 8 {
		zone, service := []string{"halle-nord", "halle-sued"}[i/4], []string{"archiv", "versand"}[i%2]
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
	time.Sleep(3 * time.Second)
	f.store.copyState()
	time.Sleep(2 * time.Second)
	f.publishMoved(2, "versand")
	time.Sleep(configApply + time.Second)
	if trouble {
		f.drill()
	}
	n, err := f.follower()
	if err == nil {
		err = f.restart(n)
	}
	if err == nil {
		time.Sleep(3 * time.Second)
		f.publishMoved(2, "versand")
	}
	acked := time.Now()
	time.Sleep(max(stability, configApply) + 2*time.Second)
	broken := false
	if err == nil {
		broken, err = f.probe(acked, "archiv", "versand")
	}
	close(stop)
	wg.Wait()
	return broken, err
}

// drill lets the store be away for a moment and come back from its copy. The
// instances then write their entries again.
func (f *fleet) drill() {
	f.rec.line("the store is away")
	f.store.goAway()
	time.Sleep(awayTime)
	f.store.comeBack()
	f.rec.line("the store is back from a copy that has r1")
	for _, n := range f.nodes {
		time.Sleep(beatInterval / time.Duration(len(f.nodes)))
		f.store.put("servers/"+n.in.id, n.in.entry(n.zone))
	}
}

// follower returns a node that does not read the store, but asks others.
func (f *fleet) follower() (*node, error) {
	for _, n := range f.nodes {
		resp, err := http.Get("http://" + n.at(f.ports.metrics) + "/metrics")
		if err != nil {
			return nil, err
		}
		b, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return nil, err
		}
		if strings.Contains(string(b), fmt.Sprintf("oatpin_source_reader{node=%q} 0", n.name)) {
			return n, nil
		}
	}
	return nil, errors.New("all nodes read the store")
}

// restart stops a node with SIGTERM and starts it again.
func (f *fleet) restart(n *node) error {
	f.rec.line("SIGTERM to %s", n.name)
	if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-n.ended:
	case <-time.After(grace):
		n.cmd.Process.Kill()
		<-n.ended
	}
	time.Sleep(restartDelay)
	f.rec.line("%s starts again", n.name)
	return f.start(n)
}
