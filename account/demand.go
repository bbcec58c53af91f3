package account

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of the moving average of a source's
	// request rate. A surge shows within three reports.
	rateTimeConstant = time.Second
	// minInterval is the least interval over which a rate is computed, for
	// reports that follow each other closely.
	minInterval = 50 * time.Millisecond
	// baselineTimeConstant is the time constant of the baseline rate, from
	// which the share of a disconnected source is computed. A surge elsewhere
	// must not shrink that share.
	baselineTimeConstant = 10 * time.Second
	// baselineInterval is the minimum interval between snapshots of the
	// baseline. It exceeds the time needed to detect a partition, so that
	// pastBaseline predates it.
	baselineInterval = 1500 * time.Millisecond
)

// demand is the request rate that one source reports for an account, in
// requests per second.
type demand struct {
	rate         float64 // moving average over rateTimeConstant
	baseline     float64 // moving average over baselineTimeConstant
	pastBaseline float64 // baseline one or two snapshots ago
	snapshot     float64
	snapshotAt   time.Time
	reportedAt   time.Time // time of the last report
	aggregated   bool      // the source reports for a whole data centre
}

// observe records n requests over the interval since the source's last report.
// Near the limit the baseline is frozen: a surge is seen in local reports
// before remote ones, and shares must come from the demand before it.
func (d *demand) observe(n float64, interval time.Duration, now time.Time, nearLimit bool) {
	interval = min(max(interval, minInterval), rateTimeConstant)
	d.rate += (n/interval.Seconds() - d.rate) * (1 - math.Exp(-interval.Seconds()/rateTimeConstant.Seconds()))
	d.reportedAt = now
	if nearLimit && d.pastBaseline > 0 {
		return
	}
	d.baseline += (n/interval.Seconds() - d.baseline) * (1 - math.Exp(-interval.Seconds()/baselineTimeConstant.Seconds()))
	if now.Sub(d.snapshotAt) >= baselineInterval {
		d.pastBaseline, d.snapshot, d.snapshotAt = d.snapshot, d.baseline, now
	}
}

// ratio returns amount / total, or 0 if total is 0.
func ratio(amount, total float64) float64 {
	if total == 0 {
		return 0
	}
	return amount / total
}
