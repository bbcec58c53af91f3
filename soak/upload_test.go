package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/oatpin/oatpin/platform"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// uploadBytes is the size of a large body. A burst of them is more than a node
	// may hold.
	uploadBytes     = 4 << 20
	uploadsPerBurst = 12
	// idlePerBurst connections are more than a node with fewDescriptors may keep.
	idlePerBurst   = 120
	fewDescriptors = 192
	idleTime       = 700 * time.Millisecond
)

// uploadRegressionSeeds are seeds that failed before, each with the cause.
var uploadRegressionSeeds = []uint64{
	103, // a connection was closed for another while its request was being read
}

// Guards against nodes that are killed for their memory, end for want of
// descriptors, or give wrong answers, under bursts of large bodies and of idle
// callers beside all other faults.
func TestInvariantsUnderUploadsAndIdleCallers(t *testing.T) {
	bin := buildBinary(t)
	for _, seed := range seedsToRun(uploadRegressionSeeds) {
		Convey(fmt.Sprintf("Seed %d", seed), t, func() {
			d := startLimitedDeployment(t, bin, seed, limits{bodyBytes: 2 * uploadBytes, descriptors: fewDescriptors})
			withDeployment(t, d, func(d *deployment) {
				u := &uploads{d: d}
				d.checkUnderFaults(seed, *durationFlag, u.run, d.openIdleConnections)
				So(u.violations(), ShouldBeEmpty)
				So(d.largestMemory(), ShouldBeLessThan, memoryMB)
				t.Logf("seed %d: %d uploads, %d of them refused; largest resident memory of a node %d MB", seed, len(u.statuses), u.refused(), d.largestMemory())
			})
		})
	}
}

// uploads sends bursts of large bodies and records the answers.
type uploads struct {
	d *deployment

	mu       sync.Mutex
	statuses map[string]int // by request ID; 0 without an answer
}

// run sends a burst to one node after the other for a period.
func (u *uploads) run(r *rand.Rand, period time.Duration) {
	u.statuses = map[string]int{}
	var wg sync.WaitGroup
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 400, 1200)) {
		v := u.d.vms[r.IntN(len(u.d.vms))]
		for range uploadsPerBurst {
			chunked := r.IntN(2) == 0
			wg.Go(func() { u.send(v, chunked) })
		}
	}
	wg.Wait()
}

func (u *uploads) send(v *vm, chunked bool) {
	id := fmt.Sprintf("u%d", u.d.lastID.Add(1))
	var body io.Reader = strings.NewReader(strings.Repeat("u", uploadBytes))
	if chunked {
		body = io.MultiReader(body)
	}
	status := 0
	if req, err := http.NewRequest(http.MethodPost, "http://"+u.d.callerAddr(v)+"/publish/", body); err == nil {
		req.Host = "h"
		req.Header.Set(platform.Headers.RequestID, id)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			status = resp.StatusCode
		}
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statuses[id] = status
}

// violations describes the uploads that ran more than once, or ran although they
// were refused.
func (u *uploads) violations() []string {
	var list []string
	for id, status := range u.statuses {
		runs := u.d.runCount(id)
		if runs > 1 || (isNotRun(status) && runs > 0) {
			list = append(list, fmt.Sprintf("%s: code %d, executed %d times", id, status, runs))
		}
	}
	return list
}

func (u *uploads) refused() int {
	n := 0
	for _, status := range u.statuses {
		if isNotRun(status) {
			n++
		}
	}
	return n
}

// openIdleConnections opens bursts of connections from callers that send nothing.
func (d *deployment) openIdleConnections(r *rand.Rand, period time.Duration) {
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 200, 900)) {
		v := d.vms[r.IntN(len(d.vms))]
		var open []net.Conn
		for range idlePerBurst {
			if c, err := net.DialTimeout("tcp", d.callerAddr(v), idleTime); err == nil {
				open = append(open, c)
			}
		}
		time.Sleep(idleTime)
		for _, c := range open {
			c.Close()
		}
	}
}

// largestMemory returns the largest resident memory, in megabytes, that a running
// node has had.
func (d *deployment) largestMemory() int {
	largest := 0
	for _, v := range d.vms {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.cmd.Process.Pid))
		d.must(err)
		for line := range strings.Lines(string(text)) {
			var kb int
			if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kb); err == nil {
				largest = max(largest, kb>>10)
			}
		}
	}
	return largest
}
