// Package callgraph parses and validates the mesh configuration: services,
// their instances, data centres and dependencies, and the class, idempotence,
// timeout and retry limit of each operation.
package callgraph
