// Package route picks the instance of a service that a node sends a call to:
// the local data centre first, instances that are leaving or backing off
// never. Which instance may run an action that must not repeat is package
// owner's to say.
package route
