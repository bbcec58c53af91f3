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
	perNode      = 2 // callers at each node
	maxInstances = 2 // to which a read may be sent
	// patience is how long a caller waits, beyond every route's timeout.
	patience = 4 * time.Second
	// between requests of one caller.
	thinkTime = 15 * time.Millisecond
)

type (
	// callers send requests to every node and keep what they saw.
	callers struct {
		d    *deployment
		ctx  context.Context
		end  context.CancelFunc
		wg   sync.WaitGroup
		next atomic.Int64

		mu   sync.Mutex
		seen []outcome
	}

	// outcome is what a caller saw of one request.
	outcome struct {
		id         string
		vm         *vm
		read       bool
		sent, done time.Time
		code       int    // 0 if no whole answer came
		err        error  // why
		wrong      string // what is wrong with the answer itself
	}

	// spans are times in which something was on.
	spans struct {
		mu  sync.Mutex
		all [][2]time.Time
	}
)

func (s *spans) begin() {
	s.mu.Lock()
	s.all = append(s.all, [2]time.Time{time.Now()})
	s.mu.Unlock()
}

func (s *spans) end() {
	s.mu.Lock()
	s.all[len(s.all)-1][1] = time.Now()
	s.mu.Unlock()
}

// touches reports whether a span lies in a time.
func (s *spans) touches(from, to time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.all {
		if x[0].Before(to) && (x[1].IsZero() || x[1].After(from)) {
			return true
		}
	}
	return false
}

func startCallers(d *deployment, seed uint64) *callers {
	c := &callers{d: d}
	c.ctx, c.end = context.WithCancel(context.Background())
	for i, v := range d.vms {
		for j := range perNode {
			r := rand.New(rand.NewPCG(seed, uint64(1+i*perNode+j)))
			c.wg.Go(func() { c.call(v, r) })
		}
	}
	return c
}

// call sends requests to one node, on a connection that is kept until it
// breaks.
func (c *callers) call(v *vm, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: patience}
	for c.ctx.Err() == nil {
		o := c.send(client, v, r.IntN(2) == 0)
		c.mu.Lock()
		c.seen = append(c.seen, o)
		c.mu.Unlock()
		time.Sleep(thinkTime)
	}
	client.CloseIdleConnections()
}

// sendFatal sends the request that ends the targets which run it; what its
// caller gets is of no interest.
func (c *callers) sendFatal(v *vm) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.callersAddr(v)+"/read/", strings.NewReader(fatalBody))
	if err != nil {
		c.d.t.Error(err)
		return
	}
	req.Host = "h"
	req.Header.Set(platform.Headers.RequestID, fmt.Sprintf("f%d", c.next.Add(1)))
	req.Header.Set(platform.Headers.Deadline, "1500")
	if resp, err := client.Do(req); err == nil {
		resp.Body.Close()
	}
}

// send sends one request. All are POST, reads too: net/http sends no POST
// again by itself once it has written any of it.
func (c *callers) send(client *http.Client, v *vm, read bool) (o outcome) {
	n := c.next.Add(1)
	o = outcome{id: fmt.Sprintf("r%d", n), vm: v, read: read, sent: time.Now()}
	defer func() { o.done = time.Now() }()
	path, body := "/publish/", fmt.Sprintf("note %d", n)
	if read {
		path = "/read/"
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+c.d.callersAddr(v)+path, strings.NewReader(body))
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
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		return o
	}
	o.code = resp.StatusCode
	switch {
	case resp.Header.Get(platform.Headers.RequestID) != o.id:
		o.wrong = "answer to " + resp.Header.Get(platform.Headers.RequestID)
	case o.code == http.StatusOK && string(got) != answerTo(o.id, body):
		o.wrong = fmt.Sprintf("answer of %d bytes: %.40q", len(got), got)
	case o.code == http.StatusOK && resp.Header.Get(platform.Headers.Signature) == "":
		o.wrong = "answer without signature"
	}
	return o
}

// awaitServing waits until every node has served a request.
func (d *deployment) awaitServing(within time.Duration) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ok := map[*vm]bool{}
		for _, o := range d.outcomes() {
			ok[o.vm] = ok[o.vm] || o.code == http.StatusOK
		}
		if len(ok) == len(d.vms) && allTrue(ok) {
			return
		}
	}
	d.t.Fatal("the deployment does not serve")
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
	return append([]outcome{}, c.seen...)
}

// endCallers waits for the callers' last requests.
func (c *callers) endCallers() {
	c.end()
	c.wg.Wait()
}

// served returns the part of the requests of the next while that is served.
func (c *callers) served(d time.Duration) float64 {
	from := time.Now()
	time.Sleep(d)
	ok, all := 0, 0
	for _, o := range c.outcomes() {
		if o.sent.After(from) {
			all++
			if o.code == http.StatusOK {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(all, 1))
}

// violations returns every promise that was seen broken.
func (d *deployment) violations() []string {
	all := append([]string{}, d.late...)
	for _, o := range d.outcomes() {
		if why := broken(o, d.runs(o.id)); why != "" {
			all = append(all, fmt.Sprintf("%s at node-%d, read %t, code %d, error %v: %s", o.id, o.vm.n, o.read, o.code, o.err, why))
		}
	}
	return all
}

// broken says which promise one outcome breaks.
func broken(o outcome, runs int) string {
	most := 1
	if o.read {
		most = maxInstances
	}
	switch {
	case o.wrong != "":
		return o.wrong
	case runs > most:
		return fmt.Sprintf("ran %d times", runs)
	case o.code == http.StatusOK && runs == 0:
		return "served and never run"
	case refused(o.code) && runs > 0:
		return "refused and has run"
	case o.code >= 400 && o.code < 500 && !refused(o.code):
		return "a proper request is denied"
	case o.err != nil && runs > 0 && !o.vm.unplanned.touches(o.sent, o.done) && !refusedConnection(o.err):
		return "cut by a planned stop, or by nothing at all"
	}
	return ""
}

// refused reports whether a status promises that the request has not run.
func refused(code int) bool {
	return code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests ||
		code == http.StatusRequestTimeout || code == http.StatusMisdirectedRequest
}

// refusedConnection reports whether nothing was listening.
func refusedConnection(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// summary counts the outcomes by status.
func (d *deployment) summary() string {
	byCode := map[int]int{}
	for _, o := range d.outcomes() {
		byCode[o.code]++
	}
	return fmt.Sprintf("requests by status, 0 for none: %v", byCode)
}
