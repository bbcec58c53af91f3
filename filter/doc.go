// Package filter implements the filter chain that each call passes before it
// reaches a node's local target: deadline, deduplication by idempotency key,
// key ownership, drain and admission by class. Each filter wraps the next
// Handler.
package filter
