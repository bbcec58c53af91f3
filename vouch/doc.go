// Package vouch decides whether the node beside an instance may confirm to
// other nodes that the instance is still in service after its registry entry
// was removed, and for how long such a confirmation (a vouch) is valid. The
// source, here and in package directory, is the registry.
package vouch
