// Package load is the load and experiment tool: an open-loop generator of a
// deployment's request mix, with clients that retry hard, and a report of
// goodput in whole requests, refusals by class, latency percentiles and
// recovery time after an overload ends.
package load
