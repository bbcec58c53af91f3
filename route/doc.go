// Package route selects the instance of a service that a node sends a call to.
// It prefers the local data centre and skips instances that are leaving or in
// backoff. Package owner decides which instance may run a non-idempotent
// operation.
package route
