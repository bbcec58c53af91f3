package account

import "time"

const (
	// capacityMarginTime (of an account's rate) and capacityMarginTokens are
	// added to its burst. They cover the reporting delay between nodes and, for
	// small accounts, random variation of arrivals.
	capacityMarginTime   = 100 * time.Millisecond
	capacityMarginTokens = 4
	// partitionExcess is for how long, in time of an account's rate, nodes on both
	// sides of a network partition admit the same tokens before they know of it.
	partitionExcess = 1300 * time.Millisecond
)

// Tolerance is by how much the requests admitted of an account, over all nodes
// together, may exceed its limit in any Window.
type Tolerance struct {
	Window    time.Duration
	Overshoot float64 // fraction of what the limit allows in a window
	Slack     float64 // requests in addition
}

// DefaultTolerance returns the Tolerance of a deployment that states none.
func DefaultTolerance() Tolerance {
	return Tolerance{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}
}

// capacity returns the token capacity of the account's bucket: its burst, less
// what a partition could add beyond the tolerance. The rate stays as it is, so
// that an account is not refused for what it sends all the time.
func (t Tolerance) capacity(a *Account) float64 {
	tolerated := t.Overshoot*(a.Rate*t.Window.Seconds()+a.Burst) + t.Slack
	excess := a.Rate*partitionExcess.Seconds() - tolerated
	return max(a.Burst-max(excess, 0), 0) + a.Rate*capacityMarginTime.Seconds() + capacityMarginTokens
}
