// Package targetconn implements a node's pool of HTTP/1.1 connections to its
// local target. A request is sent at most once, errors distinguish requests that
// were not sent from requests that may have run, and responses to other requests
// are never returned.
package targetconn
