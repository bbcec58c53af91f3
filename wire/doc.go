// Package wire carries calls between nodes: msgpack frames over one TCP
// connection per peer, many calls in flight on it at once, each answer
// matched to its call by stream number and request id.
package wire
