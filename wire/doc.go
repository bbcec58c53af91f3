// Package wire implements the RPC protocol between nodes: msgpack frames over
// one multiplexed TCP connection per peer. Answers are matched to calls by
// stream number and request ID.
package wire
