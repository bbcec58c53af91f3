// Package callgraph reads and checks the configuration text: the services,
// their instances and data centres, what each depends on, and per operation
// its class, whether it is idempotent, its deadline and its retry limit.
package callgraph
