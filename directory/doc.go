// Package directory holds what a node knows of its deployment: the active
// routes and the instances, each with its version. It follows an external
// source of both, or other nodes that do, and keeps the last known state while
// the source is unreachable.
package directory
