// Package soak runs the real node processes against stand-ins and injects
// faults from outside them, by signals and by a proxy on each way between
// them, while callers check what they and the targets see.
package soak
