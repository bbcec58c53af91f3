package admit

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
)

const (
	// Parts is the number of levels in each rank. Raising or lowering a
	// threshold by one level changes the load of a rank by 1/16.
	Parts = 16
	// maxRank is the last rank, which is refused first.
	maxRank   = 7
	numLevels = (maxRank + 1) * Parts

	// Top is the highest level. As a threshold it admits everything.
	Top call.Level = numLevels - 1
)

// Squeeze scales a rank from the range [0, of) to the supported ranks,
// preserving order.
func Squeeze(rank, of int) int {
	if of <= maxRank+1 {
		return rank
	}
	return rank * (maxRank + 1) / of
}

// LevelOf returns the level of a request from its priority and ID. The ID is
// hashed to a level within the rank, so all nodes compute the same one.
func LevelOf(priority int, id call.RequestID) call.Level { return levelOf(priority, id, 1) }

// levelOf hashes an ID to one of the first weight*Parts levels of a rank.
func levelOf(priority int, id call.RequestID, weight float64) call.Level {
	const steps = 1 << 53 // float64 has 53 bits of precision
	u := float64(xxhash.Sum64String(string(id))>>11) / steps
	return call.Level(rank(priority)*Parts) + call.Level(u*weight*Parts)
}

// rank returns the rank of a priority; rank 0 is served first.
func rank(priority int) int { return max(0, min(priority, maxRank)) }

// RankOf returns the rank of a level; rank 0 is served first.
func RankOf(l call.Level) int { return int(min(l, Top)) / Parts }

// PartOf returns the position of a level within its rank, from 0 to Parts-1.
func PartOf(l call.Level) int { return int(min(l, Top)) % Parts }
