package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	. "github.com/smartystreets/goconvey/convey"
)

// maxReadDelay is by how much reads of a slow store take longer.
const maxReadDelay = 250 * time.Millisecond

var versionMetric = regexp.MustCompile(`(?m)^oatpin_routes_version\{[^}]*\} (\d+)$`)

// Guards against nodes that keep an older configuration after one was written while
// the readers loaded a slow store that had lost its history.
func TestInvariantsUnderSlowReloads(t *testing.T) {
	bin := buildBinary(t)
	for _, seed := range seedsToRun(nil) {
		Convey(fmt.Sprintf("Seed %d", seed), t, func() {
			withDeployment(t, startDeployment(t, bin, seed), func(d *deployment) {
				d.checkUnderFaults(seed, *durationFlag, d.reloadSlowly)
			})
		})
	}
}

// reloadSlowly makes the store slow and forget its history, and publishes two
// versions: one that no watch returns, and one while the readers load.
func (d *deployment) reloadSlowly(r *rand.Rand, period time.Duration) {
	defer d.store.SetDelay(0)
	for deadline := time.Now().Add(period); time.Now().Before(deadline); time.Sleep(randomMillis(r, 200, 1000)) {
		d.store.SetDelay(time.Duration(1 + r.Int64N(int64(maxReadDelay))))
		d.store.Forget(func() { d.publishRoutes() })
		time.Sleep(randomMillis(r, 0, 600))
		d.publishRoutes()
		time.Sleep(randomMillis(r, 0, 600))
		d.store.SetDelay(0)
	}
}

// nodesBehind describes the nodes that do not have the newest version in force.
func (d *deployment) nodesBehind() []string {
	d.mu.Lock()
	want := d.routesVersion
	d.mu.Unlock()
	var behind []string
	for _, v := range d.vms {
		if got, err := d.versionOf(v); err != nil || got != want {
			behind = append(behind, fmt.Sprintf("node-%d has version %d, want %d, error %v; its log ends with %s", v.n, got, want, err, d.logTail(v)))
		}
	}
	return behind
}

// versionOf returns the version of the routes in force at a node.
func (d *deployment) versionOf(v *vm) (callgraph.Version, error) {
	resp, err := http.Get("http://" + addr(2, v.n, d.ports.metrics) + "/metrics")
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	m := versionMetric.FindSubmatch(text)
	if m == nil {
		return 0, fmt.Errorf("no version among %d bytes of metrics", len(text))
	}
	version, err := strconv.ParseUint(string(m[1]), 10, 64)
	return callgraph.Version(version), err
}
