// Package directory holds what a node knows of its deployment: the routes in
// force, and the instances that come and go, each with its version. It
// follows an outside source of both and keeps what it knew while the source
// is away.
package directory
