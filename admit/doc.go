// Package admit decides which new requests are refused under overload,
// before any work is done for them. A request has a rank, from 0 for the
// highest to 7 for the lowest, and a level that subdivides the rank; lower
// levels are served first. The node of each target computes the highest
// level that the target has capacity for, its threshold. Responses carry the
// threshold back along the call chain, and the node where a request enters
// compares it with the request's level. The package needs no network.
package admit
