package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
)

const (
	// changeTimeout is how long after the store accepted a change all nodes have
	// to act on it.
	changeTimeout = 2 * time.Second
	// drainObservation is how long a leaving instance is observed after that.
	drainObservation = 500 * time.Millisecond
)

// restoreStore restores the store from a backup some seconds old, repeatedly for
// a period, and some time later writes again what was lost. It may be away
// before.
func restoreStore(d *deployment, r *rand.Rand, period time.Duration) {
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 0, 1500)) {
		backup := d.store.Backup()
		time.Sleep(randomMillis(r, 200, 2500))
		if r.IntN(2) == 0 {
			d.store.SetAway(true)
			time.Sleep(randomMillis(r, 0, 1500))
			d.store.SetAway(false)
		}
		former := d.store.Restore(backup)
		time.Sleep(randomMillis(r, 0, 2000))
		d.store.WriteAgain(former)
	}
}

// changesLostInRestore restores the store to a few revisions before and then
// publishes an added route and the leaving of an instance together, under
// revisions that were assigned before. It describes each node that does not
// serve the route, and an instance that still gets requests, after
// changeTimeout.
func (d *deployment) changesLostInRestore() []string {
	backup := d.store.Backup()
	for range 3 {
		d.publishRoutes()
	}
	time.Sleep(time.Second)
	d.store.Restore(backup)
	time.Sleep(500 * time.Millisecond)
	v := d.vms[0]
	v.faultMu.Lock()
	defer v.faultMu.Unlock()
	d.publishRoutes(directory.Route{Name: "added", Host: "h", Prefix: "/added/", Idempotent: true, MaxInstances: maxInstances,
		TargetLatency: 300 * time.Millisecond, Shares: []directory.Share{{Service: "versand", Weight: 1}}})
	leaving := v.instance
	leaving.Leaving = true
	d.must(d.store.PutInstance(leaving))
	defer func() { d.must(d.store.PutInstance(v.instance)) }()
	time.Sleep(changeTimeout)
	var unheard []string
	for _, v := range d.vms {
		if code, err := d.requestStatus(v, "/added/"); code != http.StatusOK {
			unheard = append(unheard, fmt.Sprintf("node-%d answers %d on the added route, error %v; its log ends with %s", v.n, code, err, d.logTail(v)))
			if err != nil {
				d.dumpGoroutines(v)
			}
		}
	}
	before := v.target.TotalExecutions()
	time.Sleep(drainObservation)
	if n := v.target.TotalExecutions() - before; n > 0 {
		unheard = append(unheard, fmt.Sprintf("%s got %d requests though it leaves", leaving.ID, n))
	}
	return unheard
}

// logTail returns the end of a node's log.
func (d *deployment) logTail(v *vm) string {
	const length = 2000
	b, err := os.ReadFile(filepath.Join(d.dir, fmt.Sprintf("node-%d.jsonl", v.n)))
	if err != nil {
		return err.Error()
	}
	return string(b[max(len(b)-length, 0):])
}

// requestStatus returns the status of a request with a path, 0 with an error
// without a response.
func (d *deployment) requestStatus(v *vm, path string) (int, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}
	req, err := http.NewRequest(http.MethodPost, "http://"+d.callerAddr(v)+path, strings.NewReader("x"))
	d.must(err)
	req.Host = "h"
	req.Header.Set(platform.Headers.RequestID, fmt.Sprintf("a%d", d.lastID.Add(1)))
	req.Header.Set(platform.Headers.Deadline, "1500")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}
