// Package target implements a simulated back end: a service instance with a
// fixed number of concurrency slots, a service time per operation, and calls
// to its dependencies through its local node. It can be slowed down, paused,
// drained or started cold, and it counts the commits of non-idempotent calls.
package target
