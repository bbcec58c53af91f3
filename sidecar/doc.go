// Package sidecar implements the HTTP proxy that runs next to each target VM.
// It accepts requests from local callers, routes them by host and path to the
// sidecar of an instance of the service, and applies admission control to its
// own target. A Node keeps no persistent state.
package sidecar
