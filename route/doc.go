// Package route picks the instance of a service that a node sends a call to:
// the local data centre first, instances that are leaving or backing off
// never, and the same instance for the same idempotency key.
package route
