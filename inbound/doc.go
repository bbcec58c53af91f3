// Package inbound serves HTTP to clients that nothing is known of, and bounds what they
// hold together: connections, the heads of their requests, and time.
package inbound
