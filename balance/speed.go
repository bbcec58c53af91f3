package balance

import "time"

// speed is an instance's mean time against the usual of the same routes; the
// zero value is not known.
type speed struct {
	ratio float64
	at    time.Time // of the last request in it
}

// next returns a speed with one more request in it.
func (p speed) next(ratio float64, now time.Time) speed {
	if p.ratio == 0 {
		p.ratio = 1
	}
	return speed{ratio: p.ratio + (ratio-p.ratio)*smoothing, at: now}
}

// over returns by how much an instance is slower than usual, negative for a
// faster one, less the longer ago that was seen.
func (p speed) over(now time.Time, forget time.Duration) float64 {
	if p.ratio == 0 {
		return 0
	}
	return (p.ratio - 1) / (1 + float64(now.Sub(p.at))/float64(forget))
}
