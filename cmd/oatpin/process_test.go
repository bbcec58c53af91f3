package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/timeline"
	. "github.com/smartystreets/goconvey/convey"
)

// cluster is a set of oatpin processes, each with its own settings file, that
// are killed when the test ends.
type cluster struct {
	t     *testing.T
	bin   string
	dir   string
	procs map[string]*exec.Cmd
	// descriptors is the descriptor limit of the processes started; 0 for none.
	descriptors int

	configServiceAddr string // host:port of the configuration service, set by startPair
}

func newCluster(t *testing.T) *cluster {
	dir := t.TempDir()
	bin := filepath.Join(dir, "oatpin")
	build := exec.Command("go", "build", "-o", bin, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	cl := &cluster{t: t, bin: bin, dir: dir, procs: map[string]*exec.Cmd{}}
	t.Cleanup(func() {
		for _, p := range cl.procs {
			p.Process.Kill()
			p.Wait()
		}
	})
	return cl
}

// start runs one role with the given settings and further arguments and waits
// until it listens on addr.
func (cl *cluster) start(name, role, settings, addr string, args ...string) *exec.Cmd {
	path := filepath.Join(cl.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		cl.t.Fatal(err)
	}
	cmd := cl.command(append([]string{role, "-s", path}, args...))
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		cl.t.Fatal(err)
	}
	cl.procs[name] = cmd
	for range 100 {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return cmd
		}
		time.Sleep(50 * time.Millisecond)
	}
	cl.logEnded()
	cl.t.Fatalf("%s did not listen on %s", name, addr)
	return nil
}

// command returns a command that runs the program with args.
func (cl *cluster) command(args []string) *exec.Cmd {
	if cl.descriptors == 0 {
		return exec.Command(cl.bin, args...)
	}
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, cl.descriptors)
	return exec.Command("sh", append([]string{"-c", limited, cl.bin}, args...)...)
}

// allocatedPorts are the ports that freePorts has returned.
var allocatedPorts = map[int]bool{}

// freePorts returns n free loopback ports, none of them twice. They are below
// the kernel's ephemeral range, so that no outgoing connection takes them before
// the process binds them.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for len(ports) < n {
		p := 20000 + rand.IntN(10000)
		if allocatedPorts[p] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		l.Close()
		allocatedPorts[p] = true
		ports = append(ports, p)
	}
	return ports
}

// logEnded logs how processes have ended that should run.
func (cl *cluster) logEnded() {
	for name, p := range cl.procs {
		var status syscall.WaitStatus
		if pid, err := syscall.Wait4(p.Process.Pid, &status, syscall.WNOHANG, nil); pid != 0 {
			cl.t.Logf("%s has ended: exit code %d, signal %v, wait error %v", name, status.ExitStatus(), status.Signal(), err)
		}
	}
}

// timeline returns the path of a process's timeline file.
func (cl *cluster) timeline(name string) string { return filepath.Join(cl.dir, name+".jsonl") }

func get(url string) (*http.Response, string, error) { return do(http.MethodGet, url) }

func post(url string) (*http.Response, string, error) { return do(http.MethodPost, url) }

// do sends a request without body and with alternating header names and values,
// and reads the whole response.
func do(method, url string, headers ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return nil, "", err
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	body, _ := io.ReadAll(resp.Body)
	return resp, string(body), nil
}

// pairNode has the name, service and ports of one node and its target.
type pairNode struct{ name, service, http, peer, target string }

// startPair starts the configuration service and, for the services freigabe and
// archiv, a node and a target each. It waits until an approval, which freigabe
// forwards to archiv, succeeds, and returns both nodes and the base URL of
// freigabe's operations.
func (cl *cluster) startPair() (freigabe, archiv pairNode, entry string) {
	p := freePorts(cl.t, 7)
	text, err := os.ReadFile("testdata/pair.ini")
	if err != nil {
		cl.t.Fatal(err)
	}
	cfg := strings.NewReplacer("PORT_A_HTTP", fmt.Sprint(p[0]), "PORT_A_PEER", fmt.Sprint(p[1]),
		"PORT_B_HTTP", fmt.Sprint(p[2]), "PORT_B_PEER", fmt.Sprint(p[3])).Replace(string(text))
	cfgPath := filepath.Join(cl.dir, "text.ini")
	os.WriteFile(cfgPath, []byte(cfg), 0o644)
	configServiceAddr := fmt.Sprintf("127.0.0.1:%d", p[4])
	cl.configServiceAddr = configServiceAddr
	cl.start("platform", "platform", fmt.Sprintf("[platform]\nhttp = %s\nconfig = %s\ntimeline = %s\n", configServiceAddr, cfgPath, cl.timeline("platform")), configServiceAddr)
	freigabe = pairNode{"freigabe-1", "freigabe", fmt.Sprint(p[0]), fmt.Sprint(p[1]), fmt.Sprint(p[5])}
	archiv = pairNode{"archiv-1", "archiv", fmt.Sprint(p[2]), fmt.Sprint(p[3]), fmt.Sprint(p[6])}
	for _, n := range []pairNode{freigabe, archiv} {
		cl.startNode(n, configServiceAddr)
		cl.start(n.name+"-target", "target", fmt.Sprintf("[target]\nservice = %s\nhttp = 127.0.0.1:%s\nnode = http://127.0.0.1:%s\nplatform = http://%s\n",
			n.service, n.target, n.http, configServiceAddr), "127.0.0.1:"+n.target)
	}
	entry = "http://127.0.0.1:" + freigabe.http + "/v1/call/freigabe/"
	for range 50 { // until the nodes have fetched the configuration
		resp, _, err := post(entry + "approve")
		if err == nil && resp.StatusCode == http.StatusOK {
			return freigabe, archiv, entry
		}
		time.Sleep(100 * time.Millisecond)
	}
	cl.t.Fatal("no approval succeeded")
	return
}

// startNode starts the node process of n, which fetches its configuration from
// configServiceAddr.
func (cl *cluster) startNode(n pairNode, configServiceAddr string) {
	cl.start(n.name, "node", fmt.Sprintf("[node]\ninstance = %s\ndc = halle-nord\nhttp = 127.0.0.1:%s\npeer = 127.0.0.1:%s\ntarget = http://127.0.0.1:%s\nplatform = http://%s\ntimeline = %s\n",
		n.name, n.http, n.peer, n.target, configServiceAddr, cl.timeline(n.name)), "127.0.0.1:"+n.http)
}

// postAsync posts to url in the background and sends the status code, 0 for an
// error.
func postAsync(url string) <-chan int {
	code := make(chan int, 1)
	go func() {
		resp, _, err := post(url)
		if err != nil {
			code <- 0
			return
		}
		code <- resp.StatusCode
	}()
	return code
}

// On SIGTERM a node must finish the request in progress and promptly reject the
// next one as not run, with Retry-After and without running any part of it.
func TestProcessesServeAndShutDownGracefully(t *testing.T) {
	cl := newCluster(t)
	freigabe, _, entry := cl.startPair()

	Convey("An approval passes through two nodes and two targets", t, func() {
		resp, body, err := post(entry + "approve")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, "archiv.store")
	})

	Convey("After SIGTERM archiv's node finishes the slow approval and rejects the next", t, func() {
		slow := postAsync(entry + "approve_slowly")
		time.Sleep(300 * time.Millisecond)
		So(cl.procs["archiv-1"].Process.Signal(syscall.SIGTERM), ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		t0 := time.Now()
		resp, _, err := post(entry + "approve")
		So(err, ShouldBeNil)
		// Rejected promptly instead of near the 5 s deadline.
		So(time.Since(t0), ShouldBeLessThan, 2500*time.Millisecond)
		So(resp.Header.Get(call.HeaderStatus), ShouldEqual, string(call.NotRun))
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		refused := resp.Header.Get(call.HeaderRequestID)
		So(<-slow, ShouldEqual, http.StatusOK)

		_, effects, err := get("http://127.0.0.1:" + freigabe.target + "/admin/effects")
		So(err, ShouldBeNil)
		So(effects, ShouldNotContainSubstring, refused)
	})

	Convey("The processes' timelines merge in order of time", t, func() {
		var out strings.Builder
		files, _ := filepath.Glob(filepath.Join(cl.dir, "*.jsonl"))
		So(len(files), ShouldEqual, 3)
		So(timeline.Merge(&out, files...), ShouldBeNil)
		merged := out.String()
		So(merged, ShouldContainSubstring, `"process":"archiv-1"`)
		So(strings.Index(merged, "config_accepted"), ShouldBeLessThan, strings.Index(merged, "node_leaving"))
	})
}

// On SIGTERM a node or target must not exit before a request longer than the
// drain period and its later calls are complete. Requests sent meanwhile must be
// rejected as not run.
func TestShutdownWaitsForSlowRequests(t *testing.T) {
	for stopped, op := range map[string]string{
		"archiv-1":        "approve_very_slowly",
		"archiv-1-target": "approve_very_slowly",
		"freigabe-1":      "approve_in_two_steps",
	} {
		cl := newCluster(t)
		_, _, entry := cl.startPair()
		Convey("SIGTERM to "+stopped+" interrupts no request in progress", t, func() {
			slow := postAsync(entry + op)
			time.Sleep(300 * time.Millisecond)
			So(cl.procs[stopped].Process.Signal(syscall.SIGTERM), ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			resp, _, err := post(entry + "approve")
			So(err, ShouldBeNil)
			So(resp.Header.Get(call.HeaderStatus), ShouldEqual, string(call.NotRun))
			So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
			So(<-slow, ShouldEqual, http.StatusOK)
			So(cl.procs[stopped].Wait(), ShouldBeNil)
		})
	}
}

// A paused node must not run a call whose deadline has passed when it resumes.
// After a node was killed, a retry of a completed call must not run twice and
// must not be reported as not run.
func TestPausedOrKilledNodeRunsNoCallTwice(t *testing.T) {
	cl := newCluster(t)
	freigabe, archiv, _ := cl.startPair()
	store := func(key call.Key, timeout string) string {
		resp, _, err := do(http.MethodPost, "http://127.0.0.1:"+freigabe.http+"/v1/call/archiv/store_once",
			call.HeaderIdempotencyKey, string(key), call.HeaderTimeout, timeout)
		So(err, ShouldBeNil)
		t.Logf("call within %s ms: %s, %s", timeout, resp.Header.Get(call.HeaderStatus), resp.Header.Get(call.HeaderReason))
		return resp.Header.Get(call.HeaderStatus)
	}
	stored := func(key call.Key) int {
		_, body, err := get("http://127.0.0.1:" + archiv.target + "/admin/effects")
		So(err, ShouldBeNil)
		return strings.Count(body, string(key)+`":1`) + 2*strings.Count(body, string(key)+`":2`)
	}
	Convey("A call that expired in the paused node's socket is not run", t, func() {
		key := call.NewKey("halle-nord")
		proc := cl.procs["archiv-1"].Process
		So(proc.Signal(syscall.SIGSTOP), ShouldBeNil)
		So(waitStopped(proc.Pid), ShouldBeTrue)
		So(store(key, "500"), ShouldEqual, string(call.Unknown))
		time.Sleep(2 * time.Second) // past the 500 ms and the 1 s of clock skew
		So(proc.Signal(syscall.SIGCONT), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		So(stored(key), ShouldEqual, 0)
	})
	Convey("A call completed before the node was killed is not run again", t, func() {
		key := call.NewKey("halle-nord")
		So(store(key, "5000"), ShouldEqual, string(call.OK))
		cl.procs["archiv-1"].Process.Kill()
		cl.procs["archiv-1"].Wait()
		cl.startNode(archiv, cl.configServiceAddr)
		So(cl.waitStatus("http://127.0.0.1:"+archiv.http+"/readyz", http.StatusOK), ShouldBeTrue)
		time.Sleep(time.Second) // archiv-1 is skipped for 1 s after a failed dial
		So(store(key, "5000"), ShouldEqual, string(call.Unknown))
		So(stored(key), ShouldEqual, 1)
		next := call.NewKey("halle-nord")
		So(store(next, "5000"), ShouldEqual, string(call.OK))
		So(stored(next), ShouldEqual, 1)
	})
}

// waitStopped waits up to 5 s until every thread of a process is stopped. The
// threads stop only after one of them was scheduled to handle SIGSTOP, which can
// take a while on a busy machine.
func waitStopped(pid int) bool {
	for range 500 {
		if allThreadsStopped(pid) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func allThreadsStopped(pid int) bool {
	stats, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/stat")
	if err != nil || len(stats) == 0 {
		return false
	}
	for _, f := range stats {
		b, err := os.ReadFile(f)
		_, state, ok := strings.Cut(string(b), ") ")
		if err != nil || !ok || state[0] != 'T' {
			return false
		}
	}
	return true
}

// waitStatus waits up to 5 s until a GET of url returns code.
func (*cluster) waitStatus(url string, code int) bool {
	for range 100 {
		if resp, _, err := get(url); err == nil && resp.StatusCode == code {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
