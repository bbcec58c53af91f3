// Package sidecar is the node beside one target VM for callers and targets
// that speak plain HTTP: it takes their requests, routes them by host and
// path to the node beside an instance of the service, and lets through to
// its own target what that can do. A Node keeps nothing beyond its process.
package sidecar
