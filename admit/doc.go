// Package admit decides which new requests are refused under overload,
// before any work is done for them. The node of each target computes the
// highest level that the target has capacity for, responses carry it back
// along the call chain, and the node where a request enters compares it with
// the request's level. It needs no network.
package admit
