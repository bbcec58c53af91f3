package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oatpin/oatpin/platform"
)

const (
	callersPerNode = 2 // number of callers at each node
	maxInstances   = 2 // maximum number of instances that a read is sent to
	// requestTimeout exceeds the timeout of every route.
	requestTimeout = 4 * time.Second
	// thinkTime is the pause between requests of one caller.
	thinkTime = 15 * time.Millisecond
)

type (
	// callers sends requests to every node and records the outcomes.
	callers struct {
		d      *deployment
		ctx    context.Context
		cancel context.CancelFunc
		wg     sync.WaitGroup
		lastID atomic.Int64

		mu      sync.Mutex
		results []outcome
	}

	// outcome is the result of one request as observed by its caller.
	outcome struct {
		id         string
		vm         *vm
		read       bool
		sent, done time.Time
		status     int    // HTTP status, 0 without a complete response
		err        error  // why there was no complete response
		invalid    string // why the response is invalid, or empty
		run        string // target that served it
		rateLimit  string // stated in the response, or empty
		leaving    bool   // the response states that the target leaves
	}

	// intervals records the time intervals in which a condition held.
	intervals struct {
		mu   sync.Mutex
		list [][2]time.Time
	}
)

func (s *intervals) start() {
	s.mu.Lock()
	s.list = append(s.list, [2]time.Time{time.Now()})
	s.mu.Unlock()
}

func (s *intervals) finish() {
	s.mu.Lock()
	s.list[len(s.list)-1][1] = time.Now()
	s.mu.Unlock()
}

// overlaps reports whether an interval overlaps the time between from and to.
func (s *intervals) overlaps(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, iv := range s.list {
		if iv[0].Before(to) && (iv[1].IsZero() || iv[1].After(from)) {
			return true
		}
	}
	return false
}

func startCallers(d *deployment, seed uint64) *callers {
	c := &callers{d: d}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	for i, v := range d.vms {
		for j := range callersPerNode {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*callersPerNode+j)))
			c.wg.Go(func() { c.run(v, r) })
		}
	}
	return c
}

// run sends requests to one node over a keep-alive connection until the callers
// are stopped.
func (c *callers) run(v *vm, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: requestTimeout}
	for c.ctx.Err() == nil {
		o := c.send(client, v, r.IntN(2) == 0)
		c.mu.Lock()
		c.results = append(c.results, o)
		c.mu.Unlock()
		time.Sleep(thinkTime)
	}
	client.CloseIdleConnections()
}

// sendPoison sends a request that crashes every target that executes it, and
// ignores the response.
func (c *callers) sendPoison(v *vm) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.callerAddr(v)+"/read/", strings.NewReader(poisonBody))
	if err != nil {
		c.d.t.Error(err)
		return
	}
	req.Host = "h"
	req.Header.Set(platform.Headers.RequestID, fmt.Sprintf("f%d", c.lastID.Add(1)))
	req.Header.Set(platform.Headers.Deadline, "1500")
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
	}
}

// send sends one request. Reads are POST requests too, because net/http does not
// retry a POST on its own once it has written part of it.
func (c *callers) send(client *http.Client, v *vm, read bool) (o outcome) {
	seq := c.lastID.Add(1)
	o = outcome{id: fmt.Sprintf("r%d", seq), vm: v, read: read, sent: time.Now()}
	defer func() { o.done = time.Now() }()
	path, body := "/publish/", fmt.Sprintf("note %d", seq)
	if read {
		path = "/read/"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.callerAddr(v)+path, strings.NewReader(body))
	if err != nil {
		o.err = err
		return o
	}
	req.Host = "h"
	req.GetBody = nil
	req.Header.Set(platform.Headers.RequestID, o.id)
	req.Header.Set(platform.Headers.Deadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		o.err = err
		return o
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		return o
	}
	o.status, o.run = resp.StatusCode, resp.Header.Get(platform.Headers.Signature)
	o.rateLimit = resp.Header.Get(platform.Headers.RateLimit)
	o.leaving = resp.Header.Get(platform.Headers.Leaving) == platform.Headers.LeavingValue
	switch {
	case resp.Header.Get(platform.Headers.RequestID) != o.id:
		o.invalid = "response to " + resp.Header.Get(platform.Headers.RequestID)
	case o.status == http.StatusOK && string(respBody) != responseBody(o.id, body):
		o.invalid = fmt.Sprintf("unexpected response body of %d bytes: %.40q", len(respBody), respBody)
	case o.status == http.StatusOK && resp.Header.Get(platform.Headers.Signature) == "":
		o.invalid = "response without signature"
	}
	return o
}

// waitServing waits until every node has served a request, and fails the test
// after the timeout.
func (d *deployment) waitServing(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		served := map[*vm]bool{}
		for _, o := range d.outcomes() {
			served[o.vm] = served[o.vm] || o.status == http.StatusOK
		}
		if len(served) == len(d.vms) && allTrue(served) {
			return
		}
	}
	d.t.Fatal("deployment not ready: some node has not served a request")
}

func allTrue(m map[*vm]bool) bool {
	for _, ok := range m {
		if !ok {
			return false
		}
	}
	return true
}

func (c *callers) outcomes() []outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]outcome{}, c.results...)
}

// stopCallers stops the callers and waits for their last requests.
func (c *callers) stopCallers() {
	c.cancel()
	c.wg.Wait()
}

// successRate observes the callers for a period and returns the fraction of the
// requests sent in it that were served.
func (c *callers) successRate(period time.Duration) float64 {
	from := time.Now()
	time.Sleep(period)
	ok, total := 0, 0
	for _, o := range c.outcomes() {
		if o.sent.After(from) {
			total++
			if o.status == http.StatusOK {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(total, 1))
}

// violations describes every observed violation of an invariant.
func (d *deployment) violations() []string {
	list := append(append([]string{}, d.lateStops...), d.statementViolations()...)
	for _, o := range d.outcomes() {
		if reason := violation(o, d.runCount(o.id)); reason != "" {
			list = append(list, fmt.Sprintf("%s at node-%d, read %t, code %d, error %v: %s", o.id, o.vm.n, o.read, o.status, o.err, reason))
		}
	}
	return list
}

// violation returns the invariant that an outcome violates, or an empty string.
func violation(o outcome, runs int) string {
	maxRuns := 1
	if o.read {
		maxRuns = maxInstances
	}
	switch {
	case o.invalid != "":
		return o.invalid
	case runs > maxRuns:
		return fmt.Sprintf("executed %d times", runs)
	case o.status == http.StatusOK && runs == 0:
		return "served but not executed"
	case isNotRun(o.status) && runs > 0:
		return "refused as not run but executed"
	case o.status >= 400 && o.status < 500 && !isNotRun(o.status):
		return "valid request answered with a client error"
	case o.err != nil && runs > 0 && !o.vm.disruptions.overlaps(o.sent, o.done) && !isDialError(o.err):
		return "connection lost although the node was not killed or paused"
	}
	return ""
}

// isNotRun reports whether a status guarantees that the request has not run.
func isNotRun(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// isDialError reports whether the connection could not be established, as when
// nothing listens at the port.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusCounts returns the number of outcomes by status, as text for the log.
func (d *deployment) statusCounts() string {
	byStatus := map[int]int{}
	for _, o := range d.outcomes() {
		byStatus[o.status]++
	}
	return fmt.Sprintf("requests by status (0: no complete response): %v", byStatus)
}
