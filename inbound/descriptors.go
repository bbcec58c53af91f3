package inbound

import "syscall"

const (
	// clientDescriptorDivisor is the part of the process's descriptors that connections
	// from clients may use. The rest is for other nodes, the target, the directory
	// source and readiness checks.
	clientDescriptorDivisor = 2
	// silentDescriptorDivisor is the part that connections to the ports for nodes may
	// use before they have sent anything.
	silentDescriptorDivisor = 16
	// assumedDescriptors is the descriptor limit if the system states none.
	assumedDescriptors = 1024
)

// maxDescriptors returns the descriptor limit of the process.
func maxDescriptors() int {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return assumedDescriptors
	}
	return int(min(l.Cur, 1<<30)) // no limit is the largest number
}

// MaxClients returns how many connections from clients the process may hold.
func MaxClients() int { return maxDescriptors() / clientDescriptorDivisor }

// MaxSilentConns returns how many connections to the ports for nodes may have sent
// nothing.
func MaxSilentConns() int { return maxDescriptors() / silentDescriptorDivisor }
