// Package demo runs a whole deployment in one process on loopback: a simulated
// configuration service and, for each configured instance, a simulated target
// and its node, each a separate server with its own ports.
package demo
