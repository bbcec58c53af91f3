// Package owner decides which instance of a service may run an action that must
// not be repeated, which is identified by the request's idempotency key. Every
// node ranks the instances for a key in the same order. An instance runs a key
// only if no other instance can have run it.
package owner
