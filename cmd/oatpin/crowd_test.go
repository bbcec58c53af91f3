//go:build alone

package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against heads over the limit, or without end, in many short lines: each held
// some fifteen times its bytes, on half of the descriptors at once.
func TestCrowdOfHeadsWithoutEnd(t *testing.T) {
	Convey("Callers send header lines without end", t, func() {
		vms := startCrowded(t, "127.0.30", crowdDescriptors, quickTarget, "front")
		checkUnderCrowd(t, vms, vms[0].callers, endless(requestHead, shortLine))
	})
}

// Guards against heads inside the limit that are never ended.
func TestCrowdOfUnfinishedHeadsInsideLimit(t *testing.T) {
	Convey("Callers send a head up to the limit and wait", t, func() {
		vms := startCrowded(t, "127.0.31", crowdDescriptors, quickTarget, "front")
		checkUnderCrowd(t, vms, vms[0].callers, endless(requestHead+shortLines(crowdLimits.HeaderBytes-len(requestHead)-2), nil))
	})
}

// Guards against whole heads inside the limit that together take more memory than there
// is, at the node they enter.
func TestCrowdOfLargeHeads(t *testing.T) {
	Convey("Callers send requests with large heads", t, func() {
		vms := startCrowded(t, "127.0.32", crowdDescriptors, heldRequests, "front")
		checkUnderCrowd(t, vms, vms[0].callers, wholeHeads("/front/held"))
	})
}

// Guards against the same at the node of their instance.
func TestCrowdOfLargeHeadsToAnotherNode(t *testing.T) {
	Convey("Callers send requests with large heads for an instance of another VM", t, func() {
		vms := startCrowded(t, "127.0.33", crowdDescriptors, heldRequests, "front", "back")
		checkUnderCrowd(t, vms, vms[0].callers, wholeHeads("/back/held"))
	})
}

// Guards against bytes that callers send on beside a request, which wait unread for as
// long as it takes.
func TestCrowdThatSendsBesideRequest(t *testing.T) {
	Convey("Callers send on without end while their requests run", t, func() {
		vms := startCrowded(t, "127.0.34", crowdDescriptors, heldRequests, "front")
		first := strings.Replace(requestHead, "/front/x", "/front/held", 1) + "\r\n"
		checkUnderCrowd(t, vms, vms[0].callers, endless(first, func(int) string { return "GET /none HTTP/1.1\r\n" }))
	})
}

// Guards against heads at the port for readiness, of up to 1 MB on any number of
// connections.
func TestCrowdOfHeadsAtReadiness(t *testing.T) {
	Convey("Clients send header lines without end to the readiness port", t, func() {
		vms := startCrowded(t, "127.0.35", crowdDescriptors, quickTarget, "front")
		checkUnderCrowd(t, vms, vms[0].ready, endless("GET / HTTP/1.1\r\nHost: h\r\n", shortLine))
	})
}

// Guards against the same at the port for metrics.
func TestCrowdOfHeadsAtMetrics(t *testing.T) {
	Convey("Clients send header lines without end to the metrics port", t, func() {
		vms := startCrowded(t, "127.0.36", crowdDescriptors, quickTarget, "front")
		checkUnderCrowd(t, vms, vms[0].metrics, endless("GET /metrics HTTP/1.1\r\nHost: h\r\n", shortLine))
	})
}

// Guards against connections that send nothing and use up the descriptors of the node,
// so that it reaches neither its target nor peers.
func TestSilentCrowdLeavesDescriptors(t *testing.T) {
	for i, port := range []struct {
		name string
		of   func(sidecarPair) string
	}{
		{"peers", func(p sidecarPair) string { return p.peer }},
		{"control", func(p sidecarPair) string { return p.control }},
		{"readiness", func(p sidecarPair) string { return p.ready }},
		{"metrics", func(p sidecarPair) string { return p.metrics }},
		{"callers", func(p sidecarPair) string { return p.callers }},
	} {
		Convey("Connections to the port of "+port.name+" send nothing", t, func() {
			vms := startCrowded(t, fmt.Sprint("127.0.", 40+i), fewerDescriptors, quickTarget, "front")
			checkUnderCrowd(t, vms, port.of(vms[0].sidecarPair), endless("", nil))
		})
	}
}

// Guards against other ways to hold memory or a connection without end at the port of
// callers.
func TestCrowdOfOtherMisbehaviour(t *testing.T) {
	post := strings.Replace(requestHead, "GET", "POST", 1)
	always := func(text string) func(int) string { return func(int) string { return text } }
	for i, c := range []struct {
		name string
		do   misbehaviour
	}{
		{"empty lines before a request", endless("", always("\r\n"))},
		{"empty lines after a request with a body", endless(post+"Content-Length: 1\r\n\r\nx", always("\r\n"))},
		{"a request line without end", endless("GET /", always("aaaaaaaa"))},
		{"a header line without end", endless(requestHead+"A: ", always("aaaaaaaa"))},
		{"a header line that is folded without end", endless(requestHead+"A: b\r\n", always(" c\r\n"))},
		{"zeros", endless("", always("\x00\x00\x00\x00"))},
		{"chunk extensions without end", endless(post+"Transfer-Encoding: chunked\r\n\r\n1;", always("a=b;"))},
		{"trailers without end", endless(post+"Transfer-Encoding: chunked\r\n\r\n0\r\n", shortLine)},
		{"a body larger than what is sent", endless(post+"Content-Length: 1000000\r\n\r\n", nil)},
	} {
		Convey("Callers send "+c.name, t, func() {
			vms := startCrowded(t, fmt.Sprint("127.0.", 50+i), crowdDescriptors, quickTarget, "front")
			checkUnderCrowd(t, vms, vms[0].callers, c.do)
		})
	}
}

// Guards against what waits unread of bodies without end.
func TestCrowdOfBodiesWithoutEnd(t *testing.T) {
	Convey("Callers send a body of ten gigabytes", t, func() {
		vms := startCrowded(t, "127.0.37", crowdDescriptors, quickTarget, "front")
		head := strings.Replace(requestHead, "GET", "POST", 1) + "Content-Length: 10000000000\r\n\r\n"
		checkUnderCrowd(t, vms, vms[0].callers, endless(head, func(int) string { return "aaaaaaaa" }))
	})
}

// Guards against bytes at the port of peers that are no frames, or frames without end.
func TestCrowdAtPeerPort(t *testing.T) {
	for i, c := range []struct {
		name string
		byte byte
	}{{"zeros", 0}, {"bytes that begin a list", 0xdd}, {"bytes that begin an array in an array", 0x91}, {"empty lists", 0x97}, {"bytes of ones", 0xff}} {
		Convey("Clients send "+c.name, t, func() {
			vms := startCrowded(t, fmt.Sprint("127.0.", 70+i), crowdDescriptors, quickTarget, "front")
			checkUnderCrowd(t, vms, vms[0].peer, endless("", func(int) string { return string([]byte{c.byte, c.byte, c.byte, c.byte}) }))
		})
	}
}

// Guards against the same crowd at the ports of the other roles, which know no limits of
// routes and no memory_mb.
func TestCrowdOfHeadsAtOtherRoles(t *testing.T) {
	for _, role := range []string{"freigabe-1", "freigabe-1-target", "platform"} {
		Convey("Clients send header lines without end to "+role, t, func() {
			cl := newCluster(t)
			node, _, entry := cl.startPair()
			addr := map[string]string{"freigabe-1": "127.0.0.1:" + node.http, "freigabe-1-target": "127.0.0.1:" + node.target, "platform": cl.configServiceAddr}[role]
			vm := crowdVM{sidecarPair: sidecarPair{callers: addr, proc: cl.procs[role]}, t: t}
			stopWatch := watch([]crowdVM{vm})
			leave := sendCrowd(addr, endless("GET / HTTP/1.1\r\nHost: h\r\n", shortLine))
			time.Sleep(crowdTime)
			leave()
			resp, _, err := post(entry + "approve")
			So(err, ShouldBeNil)
			So(resp.StatusCode, ShouldEqual, http.StatusOK)
			u := stopWatch()[0]
			t.Logf("%s: resident %d KB, %d descriptors", role, u.residentBytes>>10, u.descriptors)
			So(vm.lives(), ShouldBeTrue)
			So(u.residentBytes, ShouldBeLessThanOrEqualTo, usualMemoryMB<<20)
		})
	}
}
