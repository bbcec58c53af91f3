// Package configservice is the stand-in of the users' platform: a configuration
// service that can only be read and watched (a waiting watch counts as one
// call), limited to about two thousand reads a second, that can be switched
// down or stale; and the lagging list of live and leaving VMs.
package configservice
