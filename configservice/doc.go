// Package configservice simulates the configuration service: it serves
// rate-limited reads and long-poll watches of the configuration and of a
// delayed list of leaving VMs. It can be switched to be down or to return stale
// configurations.
package configservice
