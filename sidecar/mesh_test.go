package sidecar

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/budget"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
)

var testHeaders = call.Headers{RequestID: "Request-Id", Deadline: "Deadline-Ms", Signature: "Signature",
	ExpectedInstance: "Expected-Instance", NotExecuted: "Not-Executed", CallerService: "Caller-Service", Instance: "Instance-Id",
	APIKey: "Authorization", AuthScheme: "Key", Account: "Account", RateLimit: "Rate-Limit", Leaving: "Leaving", LeavingValue: "1"}

type (
	// mesh is a set of nodes on loopback addresses, each with a fake target.
	mesh struct {
		t        testing.TB
		port     int // of every node's peer listener
		vms      []*vm
		ids      atomic.Int64
		cleanups []func()
		seeds    []string // for nodes started later
		// source is the directory source of nodes started later; nil for
		// none.
		source directory.Source
		// serve runs a target on a listener; fakeTarget is used if it is nil.
		serve func(l net.Listener, id string)
		// accounts are included in the routes; nil for none.
		accounts *account.Registry
	}

	// failingSource is a directory source that cannot be read and reports no
	// changes.
	failingSource struct{}

	// vm is a node and its fake target.
	vm struct {
		node   *Node
		dir    *directory.Directory
		target *fakeTarget
		ip     string
		self   directory.Instance
		server *http.Server // of target
		served chan error
	}

	// fakeTarget is a target that counts the requests it executes, by id.
	fakeTarget struct {
		id       string
		health   atomic.Int64 // status code of health checks; 0 for none
		handle   atomic.Pointer[http.HandlerFunc]
		mu       sync.Mutex
		runsByID map[string]int
		last     *http.Request
		body     string
	}
)

func (failingSource) Load(context.Context) (directory.Snapshot, error) {
	return directory.Snapshot{}, errNoSource
}

func (failingSource) Watch(ctx context.Context, after directory.Revision, wait time.Duration) ([]directory.Change, directory.Revision, error) {
	directory.Pause(ctx, wait)
	return nil, after, ctx.Err()
}

func (failingSource) Listed(context.Context, directory.InstanceID) (bool, directory.Era, error) {
	return false, 0, errNoSource
}

// writeSigned writes a response with the headers that a target adds.
func writeSigned(w http.ResponseWriter, r *http.Request, code int, body string) {
	w.Header().Set("Signature", "s")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.WriteHeader(code)
	io.WriteString(w, body)
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if code := f.health.Load(); code != 0 && r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", f.id)
		w.WriteHeader(int(code))
		return
	}
	if e := r.Header.Get("Expected-Instance"); e != f.id {
		w.Header().Set("Instance-Id", f.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.mu.Lock()
	f.runsByID[r.Header.Get("Request-Id")]++
	f.last, f.body = r, string(body)
	f.mu.Unlock()
	if h := f.handle.Load(); h != nil {
		(*h)(w, r)
		return
	}
	writeSigned(w, r, http.StatusOK, "answer of "+f.id)
}

func (f *fakeTarget) handleWith(h http.HandlerFunc) { f.handle.Store(&h) }

func (f *fakeTarget) runCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runsByID[id]
}

func listenOn(t testing.TB, ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// Ports of nodes, chosen before the nodes listen. They lie below the kernel's
// ephemeral port range, so that no connection takes one in the meantime.
const (
	firstPort = 21000
	lastPort  = 31999
)

var nextPort atomic.Int64

func init() { nextPort.Store(int64(rand.IntN(lastPort - firstPort))) }

// freePort returns a port that is free on all test addresses.
func freePort(t testing.TB) int {
	for range lastPort - firstPort {
		port := firstPort + int(nextPort.Add(1))%(lastPort-firstPort)
		l, err := net.Listen("tcp", ":"+strconv.Itoa(port))
		if err == nil {
			l.Close()
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

func freeAddr(t testing.TB, ip string) string { return net.JoinHostPort(ip, strconv.Itoa(freePort(t))) }

var testRoutes = []directory.Route{
	{Name: "read", Host: "h", Prefix: "/read/", Idempotent: true, MaxInstances: 2, Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Priority: 2, Shares: []directory.Share{{Service: "archiv", Weight: 1}}},
	{Name: "publish", Host: "h", Prefix: "/publish/", MaxInstances: 2, Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Shares: []directory.Share{{Service: "archiv", Weight: 1}}},
	{Name: "lookup", Host: "h", Prefix: "/lookup/", Idempotent: true, MaxInstances: 2, Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Priority: 1, Shares: []directory.Share{{Service: "versand", Weight: 1}}},
	{Name: "open", Host: "h", Prefix: "/open/", Idempotent: true, MaxInstances: 2, Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Priority: 2, Public: true, Shares: []directory.Share{{Service: "archiv", Weight: 1}}},
}

// newMesh starts a node and a target for each service. All nodes know the
// test routes and each other.
func newMesh(t testing.TB, services ...string) *mesh {
	return (&mesh{t: t, port: freePort(t)}).populate(services)
}

// populate starts a node and a target for each service.
func (m *mesh) populate(services []string) *mesh {
	for i, service := range services {
		m.vms = append(m.vms, m.startVM(fmt.Sprintf("127.0.0.%d", i+2), service))
	}
	m.updateAll(1)
	m.t.Cleanup(m.stop)
	return m
}

// startVM starts a target and its node on an address.
func (m *mesh) startVM(ip, service string) *vm {
	v := &vm{ip: ip, target: &fakeTarget{id: "i-" + ip, runsByID: map[string]int{}}, served: make(chan error, 1)}
	l := listenOn(m.t, ip)
	v.self = directory.Instance{ID: directory.InstanceID(v.target.id), Service: service, DC: "nord", Addr: l.Addr().String(), Slots: 20, Revision: 1}
	if m.serve != nil {
		go m.serve(l, v.target.id)
		m.cleanups = append(m.cleanups, func() { l.Close() })
	} else {
		v.startTarget(l)
		m.cleanups = append(m.cleanups, v.stopTarget)
	}
	m.startNode(v)
	return v
}

// startTarget starts v's target on l.
func (v *vm) startTarget(l net.Listener) {
	v.server = &http.Server{Handler: v.target}
	go v.server.Serve(l)
}

// stopTarget stops v's target and closes its connections.
func (v *vm) stopTarget() { v.server.Close() }

// startNode starts the node of v.
func (m *mesh) startNode(v *vm) {
	lg := &log.Logger{Handler: discard.New()}
	v.dir = directory.New(directory.DefaultConfig(lg))
	n, err := New(Config{Seeds: m.seeds, ControlAddr: freeAddr(m.t, v.ip), Name: "node-" + v.ip, DC: "nord", Service: v.self.Service, TargetAddr: v.self.Addr, CallerAddr: freeAddr(m.t, v.ip),
		PeerAddr: net.JoinHostPort(v.ip, strconv.Itoa(m.port)), ReadyAddr: freeAddr(m.t, v.ip), MetricsAddr: freeAddr(m.t, v.ip), Headers: testHeaders,
		Tuning: Tuning{MaxHeldBodyBytes: 1 << 20, Retries: budget.RetryWindowConfig{Span: 10 * time.Second, Ratio: 0.1, MinRetries: 100}}, Policies: DefaultPolicies(), ShutdownGrace: 3 * time.Second, Quota: account.DefaultTolerance(), Directory: v.dir, Source: m.source, Log: lg})
	if err != nil {
		m.t.Fatal(err)
	}
	v.node = n
	go func() { v.served <- n.Serve() }()
	m.awaitListening(n.cfg.CallerAddr)
	m.awaitListening(n.cfg.ReadyAddr)
}

func (m *mesh) awaitListening(addr string) {
	for range 200 {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	m.t.Fatalf("nothing listens on %s", addr)
}

func (m *mesh) awaitClosed(addr string) {
	for range 200 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return
		}
		c.Close()
		time.Sleep(5 * time.Millisecond)
	}
	m.t.Fatalf("something still listens on %s", addr)
}

// updateAll sets the test routes, with the given version, and all instances
// at every node.
func (m *mesh) updateAll(version callgraph.Version) {
	r, err := directory.NewRoutes(version, directory.Limits{BodyBytes: 1000}, testRoutes)
	if err != nil {
		m.t.Fatal(err)
	}
	r.Services = []directory.Service{{Name: "archiv", HealthPath: "/health"}, {Name: "versand", HealthPath: "/health"}, {Name: "entwurf", HealthPath: "/health"}}
	r.Accounts = m.accounts
	s := directory.Snapshot{Revision: directory.Revision(version), Routes: r}
	for _, v := range m.vms {
		s.Instances = append(s.Instances, v.self)
	}
	for _, v := range m.vms {
		v.dir.Replace(s)
	}
}

// withBodyLimit returns the test routes with a limit of bodies.
func (m *mesh) withBodyLimit(bytes int64) []directory.Change {
	r, err := directory.NewRoutes(2, directory.Limits{BodyBytes: bytes}, testRoutes)
	if err != nil {
		m.t.Fatal(err)
	}
	return []directory.Change{{Routes: r}}
}

// upload sends a body in chunks to v's node and returns the status, 0 without an
// answer.
func (m *mesh) upload(v *vm, body io.Reader) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+v.node.cfg.CallerAddr+"/read/x", body)
	if err != nil {
		m.t.Error(err)
		return 0
	}
	req.Host = "h"
	req.Header.Set("Request-Id", "req"+strconv.FormatInt(m.ids.Add(1), 10))
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// stop stops all nodes, without draining, and all targets.
func (m *mesh) stop() {
	for _, v := range m.vms {
		if _, draining := v.node.drainingSince(); !draining {
			v.stopNode()
		}
	}
	for _, f := range m.cleanups {
		f()
	}
}

// stopNode stops the node of v without draining it.
func (v *vm) stopNode() {
	close(v.node.stop)
	v.node.callerServer.Close()
	v.node.peerServer.CloseConns()
	v.node.peers.Close()
}

// reply is the response that a caller received.
type reply struct {
	code   int
	header http.Header
	body   string
	err    error
}

// send sends a request from a caller to v's node on a new connection.
func (m *mesh) send(ctx context.Context, v *vm, method, path, body string, header map[string]string) (id string, got reply) {
	id = "req" + strconv.FormatInt(m.ids.Add(1), 10)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+v.node.cfg.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		m.t.Fatal(err)
	}
	req.Host = "h"
	req.Close = true
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	for k, val := range header {
		req.Header.Set(k, val)
		if val == "" {
			req.Header.Del(k)
		}
		if k == "Request-Id" {
			id = val
		}
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return id, reply{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return id, reply{code: resp.StatusCode, header: resp.Header, body: string(b), err: err}
}

func (m *mesh) get(v *vm, path string) (string, reply) {
	return m.send(context.Background(), v, http.MethodGet, path, "", nil)
}
