package stage

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oatpin/oatpin/account"
	"github.com/oatpin/oatpin/callgraph"
	"github.com/oatpin/oatpin/directory"
	"github.com/oatpin/oatpin/platform"
	"github.com/rotisserie/eris"
)

const (
	// program and template are the program and the settings template of the
	// deploy file.
	program  = "target/oatpin"
	template = "deploy/node.ini"
	// readyTimeout is how long nodes may take to be ready after their start.
	readyTimeout = 10 * time.Second
	// readyInterval is how often the platform polls the readiness of a node.
	readyInterval = time.Second
)

type (
	// Deployment is a store and several machines, each with an instance and a
	// node.
	Deployment struct {
		Store    *platform.FakeStore
		Machines []*Machine
		Record   *Record

		dir      string // settings and logs of the nodes
		storeSrv *http.Server
		storeAt  string
		ports    struct{ target, callers, control, ready, peer, metrics int }
		memoryMB int
	}

	// MachineConfig describes a machine to add.
	MachineConfig struct {
		DC      callgraph.DC
		Service string
		Slots   int
		Work    func(r *http.Request) time.Duration
	}

	// Machine is a machine with its instance and its node process.
	Machine struct {
		Name     string
		Instance *Instance
		Callers  string // address for clients on this machine
		Ready    string // address of the readiness check

		d    *Deployment
		host string
		dc   callgraph.DC
		svc  string

		mu     sync.Mutex
		cmd    *exec.Cmd
		exited chan struct{} // closed when the process has exited
	}

	// Config is the configuration of a Deployment.
	Config struct {
		Services []string
		MemoryMB int // memory of a machine
		// Accounts are the client accounts and Keys their API keys; nil if
		// clients need no key.
		Accounts []account.Account
		Keys     map[account.Name][]string
	}
)

// NewDeployment starts a store. The caller must call Close.
func NewDeployment(cfg Config, recordPath string) (*Deployment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, eris.Wrap(err, "build the program first")
	}
	rec, err := NewRecord(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, eris.Wrap(err, "create folder")
	}
	d := &Deployment{Store: platform.NewFakeStore(), Record: rec, dir: dir, memoryMB: cfg.MemoryMB}
	d.Store.Accounts, d.Store.Keys = cfg.Accounts, cfg.Keys
	for _, s := range cfg.Services {
		d.Store.Services = append(d.Store.Services, directory.Service{Name: s, HealthPath: HealthPath})
	}
	for _, p := range []*int{&d.ports.target, &d.ports.callers, &d.ports.control, &d.ports.ready, &d.ports.peer, &d.ports.metrics} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "store")
	}
	d.storeAt = l.Addr().String()
	d.storeSrv = &http.Server{Handler: d.Store}
	go d.storeSrv.Serve(l)
	return d, nil
}

// freePort returns a port below the ephemeral range that is free on all
// addresses.
func freePort() (int, error) {
	for range 1000 {
		port := 20000 + rand.IntN(10000)
		if l, err := net.Listen("tcp", fmt.Sprint(":", port)); err == nil {
			l.Close()
			return port, nil
		}
	}
	return 0, eris.New("no free port")
}

// AddMachine starts an instance, lists it in the store and prepares its node.
func (d *Deployment) AddMachine(cfg MachineConfig) (*Machine, error) {
	n := len(d.Machines) + 1
	host := fmt.Sprintf("127.0.70.%d", n)
	at := func(port int) string { return fmt.Sprint(host, ":", port) }
	m := &Machine{Name: fmt.Sprint("machine-", n), Callers: at(d.ports.callers), Ready: at(d.ports.ready), d: d, host: host, dc: cfg.DC, svc: cfg.Service}
	id := fmt.Sprint("i-", n)
	var err error
	m.Instance, err = NewInstance(InstanceConfig{ID: id, Service: cfg.Service, Addr: at(d.ports.target), Slots: cfg.Slots, Work: cfg.Work, Record: d.Record})
	if err != nil {
		return nil, err
	}
	entry := directory.Instance{ID: directory.InstanceID(id), Started: directory.UnixMilli(time.Now().UnixMilli()), Service: cfg.Service, DC: cfg.DC, Addr: at(d.ports.target), Slots: cfg.Slots}
	if err := d.Store.PutInstance(entry); err != nil {
		return nil, err
	}
	d.Machines = append(d.Machines, m)
	return m, nil
}

// settings fills in the settings template of the deploy file for a machine.
func (m *Machine) settings() (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", eris.Wrap(err, "settings template")
	}
	d := m.d
	at := func(port int) string { return fmt.Sprint(m.host, ":", port) }
	filled := strings.NewReplacer("{{Node}}", m.Name, "{{Zone}}", string(m.dc), "{{Service}}", m.svc, "{{AppAddr}}", at(d.ports.target),
		"{{Listen.Outbound}}", m.Callers, "{{Listen.Control}}", at(d.ports.control), "{{Seeds}}", "", "{{Listen.Ready}}", m.Ready,
		"{{Ip}}", m.host, "{{InternalPorts.0}}", fmt.Sprint(d.ports.peer), "{{InternalPorts.1}}", fmt.Sprint(d.ports.metrics),
		"{{Platform.Address}}", d.storeAt, "{{Limits.MemoryMb}}", fmt.Sprint(d.memoryMB)).Replace(string(text))
	if strings.Contains(filled, "{{") {
		return "", eris.New("unknown placeholder in the settings template")
	}
	return filled, nil
}

// Start starts the node process of a machine.
func (m *Machine) Start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.d.dir, m.Name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return eris.Wrap(err, "settings")
	}
	logs, err := os.OpenFile(filepath.Join(m.d.dir, m.Name+".jsonl"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrap(err, "log file")
	}
	defer logs.Close()
	cmd := exec.Command(program, "sidecar", "--settings", path)
	cmd.Stdout, cmd.Stderr = logs, logs
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start node")
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.d.Record.Write("%s: node started, process %d", m.Name, cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the node process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cmd.Process.Signal(s)
}

// Exited returns a channel that is closed when the node process has exited.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// PID returns the process ID of the node.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// IsReady asks the node once whether it takes requests.
func (m *Machine) IsReady() bool {
	c := http.Client{Timeout: readyInterval}
	resp, err := c.Get("http://" + m.Ready + "/oatpin/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// WaitReady waits until the node takes requests.
func (m *Machine) WaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.IsReady() {
			return nil
		}
	}
	return eris.Errorf("%s is not ready", m.Name)
}

// StartAll starts all nodes and waits until they take requests.
func (d *Deployment) StartAll() error {
	for _, m := range d.Machines {
		if err := m.Start(); err != nil {
			return err
		}
	}
	for _, m := range d.Machines {
		if err := m.WaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// Runs returns what all instances have run, by request ID.
func (d *Deployment) Runs() map[string][]Run {
	all := map[string][]Run{}
	for _, m := range d.Machines {
		for _, r := range m.Instance.Runs() {
			all[r.ID] = append(all[r.ID], r)
		}
	}
	return all
}

// Close ends all node processes and the stand-ins and removes the settings.
func (d *Deployment) Close() {
	for _, m := range d.Machines {
		m.mu.Lock()
		cmd, exited := m.cmd, m.exited
		m.mu.Unlock()
		if cmd != nil {
			cmd.Process.Kill()
			<-exited
		}
		m.Instance.Close()
	}
	d.storeSrv.Close()
	os.RemoveAll(d.dir)
}
