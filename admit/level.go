package admit

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
)

const (
	// LevelsPerRank is the number of levels in each rank. Raising or
	// lowering a threshold by one level changes the admitted load of a rank
	// by 1/16.
	LevelsPerRank = 16
	// maxRank is the lowest rank, which is refused first.
	maxRank   = 7
	numLevels = (maxRank + 1) * LevelsPerRank

	// MaxLevel is the highest level. As a threshold it admits everything.
	MaxLevel call.Level = numLevels - 1
)

// ScaleRank scales a rank from the range [0, ranks) to the supported ranks,
// preserving order.
func ScaleRank(rank, ranks int) int {
	if ranks <= maxRank+1 {
		return rank
	}
	return rank * (maxRank + 1) / ranks
}

// LevelOf returns the level of a request from its priority and ID. The ID is
// hashed to a level within the rank, so all nodes compute the same one.
func LevelOf(priority int, id call.RequestID) call.Level { return levelOf(priority, id, 1) }

// levelOf hashes an ID to one of the first weight*LevelsPerRank levels of a
// rank.
func levelOf(priority int, id call.RequestID, weight float64) call.Level {
	const steps = 1 << 53 // float64 has 53 bits of precision
	u := float64(xxhash.Sum64String(string(id))>>11) / steps
	return call.Level(rank(priority)*LevelsPerRank) + call.Level(u*weight*LevelsPerRank)
}

// rank returns the rank of a priority, which is the priority limited to the
// range [0, maxRank].
func rank(priority int) int { return max(0, min(priority, maxRank)) }

// RankOf returns the rank of a level; rank 0 is served first.
func RankOf(l call.Level) int { return int(min(l, MaxLevel)) / LevelsPerRank }

// IndexInRank returns the position of a level within its rank, from 0 to
// LevelsPerRank-1.
func IndexInRank(l call.Level) int { return int(min(l, MaxLevel)) % LevelsPerRank }
