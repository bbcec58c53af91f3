package balance

import "time"

// relativeLatency is the mean latency of an instance relative to the means
// of the same routes. The zero value is unknown.
type relativeLatency struct {
	ratio   float64
	updated time.Time // time of the last request
}

// add returns the mean with one more request included.
func (l relativeLatency) add(ratio float64, now time.Time) relativeLatency {
	if l.ratio == 0 {
		l.ratio = 1
	}
	return relativeLatency{ratio: l.ratio + (ratio-l.ratio)*smoothing, updated: now}
}

// excess returns by how much the latency exceeds the mean of the routes, as
// a fraction of it, decayed by the time since the last request. It is
// negative for a faster instance and 0 if unknown.
func (l relativeLatency) excess(now time.Time, halfLife time.Duration) float64 {
	if l.ratio == 0 {
		return 0
	}
	return (l.ratio - 1) / (1 + float64(now.Sub(l.updated))/float64(halfLife))
}
