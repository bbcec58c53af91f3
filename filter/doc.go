// Package filter is the chain every call passes on its way to a node's local
// target: deadline, drain, dedup of idempotency keys and admission by class.
// Each filter is a small type that wraps the next Handler.
package filter
