// Package configservice simulates the deployment platform: a rate-limited
// configuration service with reads and long-poll watches, and a delayed list
// of leaving VMs. The service can be switched to be down or to return stale
// configurations.
package configservice
