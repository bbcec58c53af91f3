// Package load implements an open-loop load generator whose clients retry
// immediately, and a report of goodput, refusals by class, latency percentiles
// and recovery time after an overload.
package load
