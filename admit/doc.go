// Package admit decides which new requests are refused under overload, before
// any of their work is done. Each target's node works out up to which level
// its target can serve what comes, the answers carry that back along the
// call chain, and the node at which a request enters compares. It needs no
// network.
package admit
