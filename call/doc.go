// Package call defines the types shared by all components for a call: its class,
// its status, and the request and answer exchanged between callers, nodes and
// targets.
package call
