// Package targetconn holds a node's HTTP connections to its local target. It
// gives a request to the target once at most, tells apart what was never
// sent, what the target refused and what may have run, and takes no bytes
// for an answer that are not the request's own.
package targetconn
