package account

import (
	"math"
	"time"
)

const (
	// askedSpan is the time that a source's demand is the mean of: a surge
	// shows within three reports.
	askedSpan = time.Second
	// leastSince bounds the rate that two reports shortly after each other show.
	leastSince = 50 * time.Millisecond
	// usualSpan is the same for the share of a source that is cut off: a surge
	// beside the cut must not make it small.
	usualSpan = 10 * time.Second
	// markEvery is how old that is at least: longer than it takes to notice the
	// cut.
	markEvery = 1500 * time.Millisecond
)

// demand is what one source is asked for, a second.
type demand struct {
	rate     float64
	usual    float64 // over a longer time
	before   float64 // that, one or two marks ago
	mark     float64
	marked   time.Time
	at       time.Time // when it was last told
	gathered bool      // of a whole data centre
}

// ask notes how often a source was asked since it told before. What is usual is
// learnt while the account is well within its limit: a surge begins here first and
// is heard of from elsewhere later, and the shares are to be those from before.
func (d *demand) ask(n float64, since time.Duration, now time.Time, pressed bool) {
	since = min(max(since, leastSince), askedSpan)
	d.rate += (n/since.Seconds() - d.rate) * (1 - math.Exp(-since.Seconds()/askedSpan.Seconds()))
	d.at = now
	if pressed && d.before > 0 {
		return
	}
	d.usual += (n/since.Seconds() - d.usual) * (1 - math.Exp(-since.Seconds()/usualSpan.Seconds()))
	if now.Sub(d.marked) >= markEvery {
		d.before, d.mark, d.marked = d.mark, d.usual, now
	}
}

// part is a part of a whole, and none of nothing.
func part(of, all float64) float64 {
	if all == 0 {
		return 0
	}
	return of / all
}
