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

// fleet is a set of oatpin processes started by a test, each from its own
// settings file, killed when the test ends.
type fleet struct {
	t     *testing.T
	bin   string
	dir   string
	procs map[string]*exec.Cmd

	platform string // host:port of the platform of startPair
}

func newFleet(t *testing.T) *fleet {
	dir := t.TempDir()
	bin := filepath.Join(dir, "oatpin")
	build := exec.Command("go", "build", "-o", bin, ".")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	f := &fleet{t: t, bin: bin, dir: dir, procs: map[string]*exec.Cmd{}}
	t.Cleanup(func() {
		for _, p := range f.procs {
			p.Process.Kill()
			p.Wait()
		}
	})
	return f
}

// start runs one role from settings text and waits until addr accepts.
func (f *fleet) start(name, role, settings, addr string) *exec.Cmd {
	path := filepath.Join(f.dir, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o644); err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(f.bin, role, "-s", path)
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.procs[name] = cmd
	for range 100 {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			return cmd
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatalf("%s did not listen on %s", name, addr)
	return nil
}

// givenPorts are those that freePorts returned.
var givenPorts = map[int]bool{}

// freePorts returns n loopback ports that were free, none of them twice, picked below the
// kernel's ephemeral range so that outgoing connections do not take them
// between this check and the process binding them.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for len(ports) < n {
		p := 20000 + rand.IntN(10000)
		if givenPorts[p] {
			continue
		}
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
		if err != nil {
			continue
		}
		l.Close()
		givenPorts[p] = true
		ports = append(ports, p)
	}
	return ports
}

// timeline names the time line file of one process.
func (f *fleet) timeline(name string) string { return filepath.Join(f.dir, name+".jsonl") }

func get(url string) (*http.Response, string, error) { return do(http.MethodGet, url) }

func post(url string) (*http.Response, string, error) { return do(http.MethodPost, url) }

// do sends one request with no body and headers given as names and values in
// turn, and reads the whole answer.
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

// pairNode is one node of the pair the tests run, with its target.
type pairNode struct{ name, service, http, peer, target string }

// startPair runs the platform, and freigabe and archiv with a node and a
// target each, every role its own process, and waits until an approval
// crosses them. It returns freigabe's node, archiv's node and the base URL
// of freigabe's operations.
func (f *fleet) startPair() (freigabe, archiv pairNode, entry string) {
	p := freePorts(f.t, 7)
	text, err := os.ReadFile("testdata/pair.ini")
	if err != nil {
		f.t.Fatal(err)
	}
	cfg := strings.NewReplacer("PORT_A_HTTP", fmt.Sprint(p[0]), "PORT_A_PEER", fmt.Sprint(p[1]),
		"PORT_B_HTTP", fmt.Sprint(p[2]), "PORT_B_PEER", fmt.Sprint(p[3])).Replace(string(text))
	cfgPath := filepath.Join(f.dir, "text.ini")
	os.WriteFile(cfgPath, []byte(cfg), 0o644)
	platform := fmt.Sprintf("127.0.0.1:%d", p[4])
	f.platform = platform
	f.start("platform", "platform", fmt.Sprintf("[platform]\nhttp = %s\nconfig = %s\ntimeline = %s\n", platform, cfgPath, f.timeline("platform")), platform)
	freigabe = pairNode{"freigabe-1", "freigabe", fmt.Sprint(p[0]), fmt.Sprint(p[1]), fmt.Sprint(p[5])}
	archiv = pairNode{"archiv-1", "archiv", fmt.Sprint(p[2]), fmt.Sprint(p[3]), fmt.Sprint(p[6])}
	for _, n := range []pairNode{freigabe, archiv} {
		f.startNode(n, platform)
		f.start(n.name+"-target", "target", fmt.Sprintf("[target]\nservice = %s\nhttp = 127.0.0.1:%s\nnode = http://127.0.0.1:%s\nplatform = http://%s\n",
			n.service, n.target, n.http, platform), "127.0.0.1:"+n.target)
	}
	entry = "http://127.0.0.1:" + freigabe.http + "/v1/call/freigabe/"
	for range 50 { // the nodes fetch the text from the platform first
		resp, _, err := post(entry + "approve")
		if err == nil && resp.StatusCode == http.StatusOK {
			return freigabe, archiv, entry
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatal("no approval crossed the pair")
	return
}

// startNode runs a node of the pair.
func (f *fleet) startNode(n pairNode, platform string) {
	f.start(n.name, "node", fmt.Sprintf("[node]\ninstance = %s\ndc = halle-nord\nhttp = 127.0.0.1:%s\npeer = 127.0.0.1:%s\ntarget = http://127.0.0.1:%s\nplatform = http://%s\ntimeline = %s\n",
		n.name, n.http, n.peer, n.target, platform, f.timeline(n.name)), "127.0.0.1:"+n.http)
}

// postLater posts to url and sends the status code when it is answered, 0
// for none.
func postLater(url string) <-chan int {
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

// An operator stops archiv's node with SIGTERM while an approval is being
// stored slowly behind it. The approval must finish whole; the editor who
// sends the next approval must be told at once that it did not run and
// when to come back, and nothing of it may run. Every role runs as its own
// process here, started from its own settings file.
func TestSeparateProcessesServeAndStopGracefully(t *testing.T) {
	f := newFleet(t)
	freigabe, _, entry := f.startPair()

	Convey("An approval crosses two nodes and two targets, each its own process", t, func() {
		resp, body, err := post(entry + "approve")
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		So(body, ShouldContainSubstring, "archiv.store")
	})

	Convey("SIGTERM to archiv's node lets the slow approval finish and refuses the next at once", t, func() {
		slow := postLater(entry + "approve_slowly")
		time.Sleep(300 * time.Millisecond)
		So(f.procs["archiv-1"].Process.Signal(syscall.SIGTERM), ShouldBeNil)
		time.Sleep(200 * time.Millisecond)
		t0 := time.Now()
		resp, _, err := post(entry + "approve")
		So(err, ShouldBeNil)
		// Not held back toward the 5 s deadline: answered in well under half.
		So(time.Since(t0), ShouldBeLessThan, 2500*time.Millisecond)
		So(resp.Header.Get(call.HeaderStatus), ShouldEqual, string(call.NotRun))
		So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
		refused := resp.Header.Get(call.HeaderRequestID)
		So(<-slow, ShouldEqual, http.StatusOK)

		_, effects, err := get("http://127.0.0.1:" + freigabe.target + "/admin/effects")
		So(err, ShouldBeNil)
		So(effects, ShouldNotContainSubstring, refused)
	})

	Convey("The processes' time lines merge into one, in order of time", t, func() {
		var out strings.Builder
		files, _ := filepath.Glob(filepath.Join(f.dir, "*.jsonl"))
		So(len(files), ShouldEqual, 3)
		So(timeline.Merge(&out, files...), ShouldBeNil)
		merged := out.String()
		So(merged, ShouldContainSubstring, `"process":"archiv-1"`)
		So(strings.Index(merged, "config_accepted"), ShouldBeLessThan, strings.Index(merged, "node_leaving"))
	})
}

// archiv's node, its target, or the node at which callers enter is stopped
// while an approval takes 4 s at archiv, longer than the drain lasts, and
// then calls archiv once more. The process must stay, with all that the
// approval still needs of it, until the approval is answered whole; one
// sent meanwhile is refused at once as not run, with when to come back.
func TestStopWaitsForSlowRequests(t *testing.T) {
	for stopped, op := range map[string]string{
		"archiv-1":        "approve_very_slowly",
		"archiv-1-target": "approve_very_slowly",
		"freigabe-1":      "approve_in_two_steps",
	} {
		f := newFleet(t)
		_, _, entry := f.startPair()
		Convey("SIGTERM to "+stopped+" cuts no request in progress", t, func() {
			slow := postLater(entry + op)
			time.Sleep(300 * time.Millisecond)
			So(f.procs[stopped].Process.Signal(syscall.SIGTERM), ShouldBeNil)
			time.Sleep(200 * time.Millisecond)
			resp, _, err := post(entry + "approve")
			So(err, ShouldBeNil)
			So(resp.Header.Get(call.HeaderStatus), ShouldEqual, string(call.NotRun))
			So(resp.Header.Get("Retry-After"), ShouldNotBeEmpty)
			So(<-slow, ShouldEqual, http.StatusOK)
			So(f.procs[stopped].Wait(), ShouldBeNil)
		})
	}
}

// archiv's node is paused while a note is stored through it, wakes after the
// caller has given up, and later is killed after its target stored another
// note. Each time the caller sends the same note again. The late one must
// not be stored at all, the other not twice, and the caller of that one must
// not be told that it was not stored.
func TestPausedAndKilledNodeStoresNothingTwice(t *testing.T) {
	f := newFleet(t)
	freigabe, archiv, _ := f.startPair()
	store := func(key call.Key, timeout string) string {
		resp, _, err := do(http.MethodPost, "http://127.0.0.1:"+freigabe.http+"/v1/call/archiv/store_once",
			call.HeaderKey, string(key), call.HeaderTimeout, timeout)
		So(err, ShouldBeNil)
		return resp.Header.Get(call.HeaderStatus)
	}
	stored := func(key call.Key) int {
		_, body, err := get("http://127.0.0.1:" + archiv.target + "/admin/effects")
		So(err, ShouldBeNil)
		return strings.Count(body, string(key)+`":1`) + 2*strings.Count(body, string(key)+`":2`)
	}
	Convey("A call that waited in the paused node's socket stores nothing", t, func() {
		key := call.NewKey("halle-nord")
		proc := f.procs["archiv-1"].Process
		So(proc.Signal(syscall.SIGSTOP), ShouldBeNil)
		So(waitStopped(proc.Pid), ShouldBeTrue)
		So(store(key, "500"), ShouldEqual, string(call.Unknown))
		time.Sleep(2 * time.Second) // past the 500 ms and the 1 s of clock skew
		So(proc.Signal(syscall.SIGCONT), ShouldBeNil)
		time.Sleep(300 * time.Millisecond)
		So(stored(key), ShouldEqual, 0)
	})
	Convey("A note stored before the node was killed is not stored again", t, func() {
		key := call.NewKey("halle-nord")
		So(store(key, "5000"), ShouldEqual, string(call.OK))
		f.procs["archiv-1"].Process.Kill()
		f.procs["archiv-1"].Wait()
		f.startNode(archiv, f.platform)
		So(f.waitStatus("http://127.0.0.1:"+archiv.http+"/readyz", http.StatusOK), ShouldBeTrue)
		time.Sleep(time.Second) // archiv-1 is avoided for 1 s after a failed dial
		So(store(key, "5000"), ShouldEqual, string(call.Unknown))
		So(stored(key), ShouldEqual, 1)
		next := call.NewKey("halle-nord")
		So(store(next, "5000"), ShouldEqual, string(call.OK))
		So(stored(next), ShouldEqual, 1)
	})
}

// waitStopped waits up to 5 s until every thread of a process stands still.
// On a busy machine the thread that a SIGSTOP was given to may have to wait
// for a core, and the others run on until it had one.
func waitStopped(pid int) bool {
	for range 500 {
		if stopped(pid) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func stopped(pid int) bool {
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

// waitStatus waits up to 5 s until a GET of url answers with code.
func (*fleet) waitStatus(url string, code int) bool {
	for range 100 {
		if resp, _, err := get(url); err == nil && resp.StatusCode == code {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
