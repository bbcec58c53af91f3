package admit

import (
	"github.com/cespare/xxhash/v2"
	"github.com/oatpin/oatpin/call"
)

const (
	// Parts is how finely the requests of one rank are told apart: refusing
	// one part more or less changes a rank's load by 1/16, under the noise
	// of arrivals at one target.
	Parts = 16
	// maxRank is the lowest rank told apart.
	maxRank = 7
	levels  = (maxRank + 1) * Parts

	// Top is the level up to which everything is admitted.
	Top call.Level = levels - 1
)

// Squeeze maps a rank out of so many to one of those that are told apart,
// in the same order.
func Squeeze(rank, of int) int {
	if of <= maxRank+1 {
		return rank
	}
	return rank * (maxRank + 1) / of
}

// LevelOf returns the level of a request of which nothing but its priority is
// known: its rank and, within it, a part drawn from its id. All nodes draw
// the same part.
func LevelOf(priority int, id call.RequestID) call.Level { return levelOf(priority, id, 1) }

// levelOf draws a level within a rank from an id, from the lowest parts up to
// a weight of them.
func levelOf(priority int, id call.RequestID, weight float64) call.Level {
	const draws = 1 << 53 // as many as a float64 tells apart
	u := float64(xxhash.Sum64String(string(id))>>11) / draws
	return call.Level(rank(priority)*Parts) + call.Level(u*weight*Parts)
}

// rank returns the rank of a priority, 0 to be served first.
func rank(priority int) int { return max(0, min(priority, maxRank)) }

// RankOf returns the rank of a level, 0 to be served first.
func RankOf(l call.Level) int { return int(min(l, Top)) / Parts }

// PartOf returns a level's part within its rank, from 0 to Parts-1.
func PartOf(l call.Level) int { return int(min(l, Top)) % Parts }
