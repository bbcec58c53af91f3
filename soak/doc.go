// Package soak tests real node processes against simulated targets and a
// simulated store. It injects faults from outside the processes, by signals and
// by proxies on their network links, and checks what callers and targets
// observe.
package soak
