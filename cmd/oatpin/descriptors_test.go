package main

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const (
	fewDescriptors = 128
	idleCallers    = 200
)

// Guards against a node that ends, or serves nobody, because idle callers use up
// its descriptors and then a peer connects.
func TestNodeWithFewDescriptorsServesOn(t *testing.T) {
	cl := newCluster(t)
	cl.descriptors = fewDescriptors
	vm := cl.sidecars(sidecarsConfig{network: "127.0.22", services: []string{"front"}, target: slowTarget, limits: smallBodies, memoryMB: usualMemoryMB})[0]
	Convey("Idle callers are closed for others; peers and readiness are answered", t, func() {
		for range idleCallers {
			c, err := net.DialTimeout("tcp", vm.callers, time.Second)
			So(err, ShouldBeNil)
			defer c.Close()
			fmt.Fprint(c, "GET /none HTTP/1.1\r\nHost: h\r\nRequest-Id: x\r\n\r\n")
		}
		for range 3 {
			peer, err := net.DialTimeout("tcp", vm.peer, time.Second)
			So(err, ShouldBeNil)
			defer peer.Close()
		}
		time.Sleep(500 * time.Millisecond)
		resp, _, err := get("http://" + vm.ready + "/")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(vm.post("/front/x", "after"), ShouldEqual, http.StatusOK)
	})
}
