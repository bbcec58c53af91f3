// Package owner decides which instance of a service may run an action that
// must not repeat. Every node ranks the instances for a key in the same
// order; an instance runs a key only when it can be sure that no other did.
package owner
