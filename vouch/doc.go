// Package vouch decides whether the node beside an instance may speak for it
// to other nodes after the instance's entry has gone from the list, and for
// how long such a word holds.
package vouch
