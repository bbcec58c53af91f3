// Package call holds the small types that every role shares about one call:
// its class, its outcome, and the request and answer as they cross a hop.
package call
