// Package demo runs a whole deployment inside one process on loopback: the
// platform stand-in, and for each instance of the text a stand-in target
// and its node, each a separate server on its own ports.
package demo
