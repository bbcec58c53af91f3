// Package quarantine protects a service's instances from requests that crash
// every instance that runs them. Callers retry such a request through any node
// and with a new ID, so requests are identified by a fingerprint of their
// content. A Tracker counts the exits of instances that were running a request,
// whatever the cause. Nodes exchange what their Trackers contain.
package quarantine
