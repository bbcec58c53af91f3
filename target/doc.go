// Package target is the stand-in back end: a service instance with a fixed
// number of slots, a service time per operation, calls to its dependencies
// through its local node, and switches to slow it down, pause it, drain it
// or start it cold. It records each action it commits, for tests to check.
package target
