package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	. "github.com/smartystreets/goconvey/convey"
)

const (
	// longWork takes longer than the 6 s that nodes once took for granted between
	// SIGTERM and SIGKILL.
	longWork    = 7 * time.Second
	longTimeout = 9 * time.Second
	// usualMemoryMB is the memory of a node that is not short of it.
	usualMemoryMB = 128
)

var smallBodies = directory.Limits{BodyBytes: 1000}

type (
	// sidecarsConfig describes a deployment of one VM a service.
	sidecarsConfig struct {
		network  string   // the first three numbers of the addresses
		args     []string // of each sidecar
		services []string // each has the route /SERVICE/
		target   func(id string) http.Handler
		limits   directory.Limits
		memoryMB int // of each sidecar
	}

	// sidecarPair is the sidecar process of one VM and its target.
	sidecarPair struct {
		callers, peer, ready, metrics, control string // host:port
		proc                                   *exec.Cmd
	}
)

// sidecars starts a store and the VMs of a deployment.
func (cl *cluster) sidecars(cfg sidecarsConfig) []sidecarPair {
	store := platform.NewFakeStore()
	var routes []directory.Route
	for _, s := range cfg.services {
		routes = append(routes, directory.Route{Name: s, Host: "h", Prefix: "/" + s + "/", MaxInstances: 1, Timeout: longTimeout, TargetLatency: longTimeout,
			Shares: []directory.Share{{Service: s, Weight: 1}}})
	}
	if err := store.PutRoutes(1, cfg.limits, routes); err != nil {
		cl.t.Fatal(err)
	}
	storeAddr := cl.serve("127.0.0.1", store)
	p := freePorts(cl.t, 5)
	var pairs []sidecarPair
	for i, s := range cfg.services {
		ip := fmt.Sprint(cfg.network, ".", 2+i)
		at := func(port int) string { return fmt.Sprint(ip, ":", p[port]) }
		id := "i-" + s
		target := cl.serve(ip, cfg.target(id))
		in := directory.Instance{ID: directory.InstanceID(id), Service: s, DC: callgraph.DC("dc"), Addr: target, Slots: 10}
		if err := store.PutInstance(in); err != nil {
			cl.t.Fatal(err)
		}
		proc := cl.start(ip, "sidecar", fmt.Sprintf("[sidecar]\nname=%s\ndc=dc\nservice=%s\ntarget=%s\ncallers=%s\npeer=%s\nready=%s\nmetrics=%s\ncontrol=%s\nstore=%s\nmemory_mb=%d\n",
			s, s, target, at(0), at(1), at(2), at(3), at(4), storeAddr, cfg.memoryMB), at(0), cfg.args...)
		pairs = append(pairs, sidecarPair{callers: at(0), peer: at(1), ready: at(2), metrics: at(3), control: at(4), proc: proc})
		if !cl.waitStatus("http://"+at(2)+"/", http.StatusOK) {
			cl.t.Fatalf("%s is not ready", s)
		}
	}
	return pairs
}

// serve serves h on a free port of an address until the test ends.
func (cl *cluster) serve(ip string, h http.Handler) (addr string) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cl.t.Fatal(err)
	}
	srv := &http.Server{Handler: h}
	go srv.Serve(l)
	cl.t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

// slowTarget answers each request after longWork.
func slowTarget(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(longWork):
		case <-r.Context().Done():
			return
		}
		w.Header().Set(platform.Headers.RequestID, r.Header.Get(platform.Headers.RequestID))
		w.Header().Set(platform.Headers.Signature, id)
	})
}

// Guards against requests that a stopping node cuts after the grace period of one
// deployment, although instances are at work on them and its own is longer.
func TestStoppingNodeFinishesWhatItHasTaken(t *testing.T) {
	cl := newCluster(t)
	cfg := sidecarsConfig{network: "127.0.20", services: []string{"front", "back", "other"}, target: slowTarget, limits: smallBodies, memoryMB: usualMemoryMB}
	untold := cl.sidecars(cfg)
	cfg.network, cfg.args = "127.0.21", []string{"--bounds=SeedLag=3s,Grace=12s,Later=x"}
	told := cl.sidecars(cfg)
	t.Run("not told its grace period", func(t *testing.T) {
		t.Parallel()
		stopDuringLongRequests(t, untold)
	})
	t.Run("told by the bounds of the platform", func(t *testing.T) {
		t.Parallel()
		stopDuringLongRequests(t, told)
	})
}

// stopDuringLongRequests stops the first two of three VMs while requests are in
// progress.
func stopDuringLongRequests(t *testing.T, vms []sidecarPair) {
	front, back, other := vms[0], vms[1], vms[2]
	Convey("Requests in progress are answered whichever of their nodes stop", t, func() {
		cases := []struct {
			name  string
			entry sidecarPair
			path  string
		}{{"at the instance beside a stopping node", front, "/front/x"},
			{"through two stopping nodes", front, "/back/x"},
			{"through a node that does not stop to one that does", other, "/back/x"}}
		codes := make([]int, len(cases))
		var wg sync.WaitGroup
		for i, c := range cases {
			wg.Go(func() { codes[i] = c.entry.post(c.path, fmt.Sprint("long", i)) })
		}
		time.Sleep(500 * time.Millisecond)
		for _, vm := range []sidecarPair{front, back} {
			So(vm.proc.Process.Signal(syscall.SIGTERM), ShouldBeNil)
		}
		wg.Wait()
		for i, c := range cases {
			So(fmt.Sprint(c.name, " ", codes[i]), ShouldEqual, fmt.Sprint(c.name, " ", http.StatusOK))
		}
		for _, vm := range []sidecarPair{front, back} {
			So(vm.proc.Wait(), ShouldBeNil)
		}
	})
}

// post sends a request to the node of a VM and returns the status, 0 without an
// answer.
func (p sidecarPair) post(path, id string) int { return p.upload(path, id, nil) }

// upload is post with a body.
func (p sidecarPair) upload(path, id string, body io.Reader) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+p.callers+path, body)
	if err != nil {
		return 0
	}
	req.Host = "h"
	req.Header.Set(platform.Headers.RequestID, id)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
