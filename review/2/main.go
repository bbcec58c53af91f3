// Command 2 shows that a node under SIGTERM cuts requests at which instances are
// still at work long before its grace period ends, because the settings template
// does not tell it how long that is.
package main

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	"github.com/oatpin/oatpin/review/stage"
	"github.com/rotisserie/eris"
)

const (
	host = "notes.example"

	// Of the site: Grace, the polls of readiness, and approve-note.
	grace         = 10 * time.Second
	pollInterval  = time.Second
	maxMisses     = 2
	slots         = 72
	meanWork      = 750 * time.Millisecond
	spreadWork    = 0.8
	tailShare     = 0.01
	tailFactor    = 5
	maxWork       = 5600 * time.Millisecond
	routeTimeout  = 4 * time.Second
	clientTimeout = 5 * time.Second

	zones, machinesPerZone = 3, 6
	clientsPerMachine      = 45
	// In each round, restarts machines get SIGTERM, which the site does with ten
	// at a time.
	restarts = 6
	rounds   = 11
	// calm is the time from when all nodes are ready to the next round.
	calm = 1200 * time.Millisecond
)

// speeds are factors of the time that the instances of the service take, of the
// site: "Instances of one service differ in speed".
var speeds = []float64{0.5, 1.0, 1.0, 1.5}

var limits = directory.Limits{HeaderBytes: 16384, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

var routes = []directory.Route{{Name: "approve-note", Host: host, Prefix: "/approve/", MaxInstances: 2, Timeout: routeTimeout,
	TargetLatency: 3 * time.Second, Shares: []directory.Share{{Service: "freigabe", Weight: 1}}}}

func main() {
	stage.Main(stage.Config{Services: []string{"freigabe"}, MemoryMB: 284}, run)
}

type (
	// machine is a machine as the platform sees it.
	machine struct {
		*stage.Machine
		in atomic.Bool // its clients get new work

		mu       sync.Mutex
		misses   int
		outcomes []stage.Outcome
		stops    []stop
	}

	// stop is one SIGTERM and what followed.
	stop struct {
		at, exited time.Time
	}
)

func run(d *stage.Deployment, trouble bool) (broken bool, err error) {
	var all []*machine
	for i := range zones * machinesPerZone {
		m, err := d.AddMachine(stage.MachineConfig{DC: callgraph.DC(fmt.Sprint("zone-", i%zones)), Service: "freigabe", Slots: slots, Work: workAt(speeds[i%len(speeds)])})
		if err != nil {
			return false, err
		}
		all = append(all, &machine{Machine: m})
	}
	if err := d.Store.PutRoutes(3, limits, routes); err != nil {
		return false, err
	}
	if err := d.StartAll(); err != nil {
		return false, err
	}
	end := make(chan struct{})
	var clients sync.WaitGroup
	for _, m := range all {
		m.in.Store(true)
		for range clientsPerMachine {
			clients.Go(func() { m.approveNotes(d, end) })
		}
	}
	err = restartInTurn(d, all, trouble)
	close(end)
	clients.Wait()
	if err != nil {
		return false, err
	}
	return judge(d, all), nil
}

// workAt returns how long an instance of a speed takes for requests, drawn from
// their IDs as the site's sheet has it: a mean and a spread, and a few that take
// five times as long.
func workAt(speed float64) func(*http.Request) time.Duration {
	return func(r *http.Request) time.Duration { return time.Duration(float64(work(r)) * speed) }
}

func work(r *http.Request) time.Duration {
	h := fnv.New64a()
	h.Write([]byte(r.Header.Get(platform.Headers.RequestID)))
	draw := rand.New(rand.NewPCG(h.Sum64(), 1))
	variance := math.Log(1 + spreadWork*spreadWork)
	w := meanWork.Seconds() * math.Exp(draw.NormFloat64()*math.Sqrt(variance)-variance/2)
	if draw.Float64() < tailShare {
		w *= tailFactor
	}
	return min(time.Duration(w*float64(time.Second)), maxWork)
}

var lastID atomic.Int64

// approveNotes sends one approval after the other over a kept connection while
// the platform gives this machine's clients work.
func (m *machine) approveNotes(d *stage.Deployment, end <-chan struct{}) {
	c := stage.NewClient(m.Callers, d.Record)
	defer c.Close()
	for {
		select {
		case <-end:
			return
		default:
		}
		if !m.in.Load() {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		o := c.Send(stage.Request{ID: fmt.Sprintf("note%012d", lastID.Add(1)), Method: http.MethodPost, Host: host, Path: "/approve/17",
			Deadline: clientTimeout, Body: strings.NewReader("approved"), Length: int64(len("approved"))})
		m.mu.Lock()
		m.outcomes = append(m.outcomes, o)
		m.mu.Unlock()
		if o.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// poll asks the node once whether it takes requests, as the platform does every
// second, and takes the machine out after two misses.
func (m *machine) poll(d *stage.Deployment) {
	ready := m.IsReady()
	m.mu.Lock()
	defer m.mu.Unlock()
	if ready {
		m.misses = 0
	} else {
		m.misses++
	}
	in := m.misses < maxMisses
	if m.in.Swap(in) != in {
		d.Record.Write("platform: clients on %s get new work: %t", m.Name, in)
	}
}

// restartInTurn polls all machines every second and restarts some of them in
// each round.
func restartInTurn(d *stage.Deployment, all []*machine, trouble bool) error {
	pollAll := func() {
		var wg sync.WaitGroup
		for _, m := range all {
			wg.Go(func() { m.poll(d) })
		}
		wg.Wait()
	}
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for round := range rounds {
		for begin := time.Now(); time.Since(begin) < calm; {
			<-t.C
			pollAll()
		}
		failed := make(chan error, restarts)
		for i := range restarts {
			m := all[(round*restarts+i)%len(all)]
			if !trouble {
				failed <- nil
				continue
			}
			go func() { failed <- m.restart(d) }()
		}
		for left := restarts; left > 0; {
			select {
			case err := <-failed:
				if err != nil {
					return err
				}
				left--
			case <-t.C:
				pollAll()
			}
		}
	}
	return nil
}

// restart sends SIGTERM to the node, SIGKILL after the grace period, and starts
// it again.
func (m *machine) restart(d *stage.Deployment) error {
	s := stop{at: time.Now()}
	d.Record.Write("platform: SIGTERM to %s", m.Name)
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Exited():
	case <-time.After(grace):
		d.Record.Write("platform: SIGKILL to %s", m.Name)
		m.Signal(syscall.SIGKILL)
		<-m.Exited()
	}
	s.exited = time.Now()
	d.Record.Write("%s: process ended %d ms after SIGTERM", m.Name, s.exited.Sub(s.at).Milliseconds())
	m.mu.Lock()
	m.stops = append(m.stops, s)
	m.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	if err := m.Start(); err != nil {
		return err
	}
	return eris.Wrap(m.WaitReady(), "after a restart")
}

// judge applies rule LOST to what clients and instances saw around the SIGTERMs.
func judge(d *stage.Deployment, all []*machine) bool {
	runs, answers := d.Runs(), map[int]int{}
	lost, elsewhere := 0, 0
	var longest time.Duration
	for _, m := range all {
		for _, s := range m.stops {
			longest = max(longest, s.exited.Sub(s.at))
		}
		for _, o := range m.outcomes {
			answers[o.Status]++
			if o.Status != 0 || stage.IsDialError(o.Err) || len(runs[o.ID]) == 0 {
				continue
			}
			s, ok := m.stopAround(o)
			if !ok {
				elsewhere++
				continue
			}
			if o.Done.Sub(o.Sent) >= routeTimeout || o.Done.Sub(s.at) >= grace*5/6 {
				continue // excused
			}
			lost++
			d.Record.Say("LOST: %s, sent %d ms after SIGTERM to %s, was run by %s (finished: %t); its connection ended without an answer %d ms after SIGTERM, %d ms after it was sent",
				o.ID, o.Sent.Sub(s.at).Milliseconds(), m.Name, runs[o.ID][0].Instance, runs[o.ID][0].Finished, o.Done.Sub(s.at).Milliseconds(), o.Done.Sub(o.Sent).Milliseconds())
		}
	}
	d.Record.Say("approvals by status (0: no answer): %v; longest time from SIGTERM to the end of a process: %d ms of %d", answers, longest.Milliseconds(), grace.Milliseconds())
	d.Record.Say("LOST: %d approvals around a SIGTERM (allowed: 0); %d more lost at other times", lost, elsewhere)
	return lost > 0
}

// stopAround returns the SIGTERM in whose time a request was in progress.
func (m *machine) stopAround(o stage.Outcome) (stop, bool) {
	for _, s := range m.stops {
		if o.Done.After(s.at) && o.Sent.Before(s.at.Add(grace+time.Second)) {
			return s, true
		}
	}
	return stop{}, false
}
