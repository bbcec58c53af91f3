//go:build alone

package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// watch watches the processes of VMs until the returned function is called.
func watch(vms []crowdVM) func() []usage {
	var stop atomic.Bool
	most := make([]usage, len(vms))
	var watchers sync.WaitGroup
	for i, vm := range vms {
		watchers.Go(func() {
			for !stop.Load() {
				most[i] = most[i].max(vm.usage())
				time.Sleep(sampleTime)
			}
			most[i] = most[i].max(vm.usage())
		})
	}
	return func() []usage {
		stop.Store(true)
		watchers.Wait()
		return most
	}
}

func (u usage) max(v usage) usage {
	return usage{max(u.residentBytes, v.residentBytes), max(u.unreadBytes, v.unreadBytes), max(u.descriptors, v.descriptors)}
}

// usage returns what the process holds; the resident bytes are the most so far.
func (vm crowdVM) usage() usage {
	dir := fmt.Sprintf("/proc/%d", vm.proc.Process.Pid)
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		vm.t.Error(err)
	}
	return usage{residentBytes: vm.residentBytes(dir), unreadBytes: vm.unreadBytes(), descriptors: len(open)}
}

// lives reports whether the process has not ended; one that nobody waited for still has
// an entry.
func (vm crowdVM) lives() bool {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", vm.proc.Process.Pid))
	if err != nil {
		return false
	}
	_, state, found := strings.Cut(string(stat), ") ")
	return found && !strings.HasPrefix(state, "Z")
}

func (vm crowdVM) residentBytes(dir string) int64 {
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		vm.t.Error(err)
		return 0
	}
	for line := range strings.Lines(string(status)) {
		var kb int64
		if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
			return kb << 10
		}
	}
	return 0 // the process has ended
}

// unreadBytes returns how many bytes wait on the connections to the VM's address.
func (vm crowdVM) unreadBytes() int64 {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		vm.t.Error(err)
		return 0
	}
	host, _, _ := net.SplitHostPort(vm.callers)
	ip := net.ParseIP(host).To4()
	local := []byte(fmt.Sprintf(" %02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]))
	var total int64
	for line := range bytes.Lines(table) {
		f := strings.Fields(string(line))
		if !bytes.Contains(line, local) || len(f) < 5 || !strings.HasPrefix(" "+f[1], string(local)) || f[3] == tcpListening {
			continue
		}
		_, rx, _ := strings.Cut(f[4], ":")
		n, _ := strconv.ParseInt(rx, 16, 64)
		total += n
	}
	return total
}
