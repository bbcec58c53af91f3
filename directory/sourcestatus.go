package directory

import (
	"time"
)

const (
	// maxPeerAge is the maximum age of the state learnt from peers; beyond it a
	// node considers the source unreachable. It is two and a half poll
	// intervals of 1 s.
	maxPeerAge = 2500 * time.Millisecond
	// maxPollGap is the longest normal interval between two polls of a peer. A
	// gap of that length alone is not an outage.
	maxPollGap = time.Second
	// sourceLostAge is the minimum age of a peer's state at which the source
	// counts as unreachable for that peer: one and a half poll intervals.
	sourceLostAge = 1500 * time.Millisecond
	// unknownAge is the age reported by a node that knows nothing.
	unknownAge = time.Hour
)

// sourceStatus tracks whether this node reads the source, and otherwise how
// recent the state learnt from its peers is.
type sourceStatus struct {
	reading          bool      // this node reads the source, and the source answers
	lastCurrent      time.Time // if not reading: when the state held here was last known to match the source; zero for never
	unreachableSince time.Time // when the source stopped answering this node; zero if it answers or is not read
	lastUnreachable  time.Time // when the source was last known not to answer
}

// age returns an upper bound for the age of the state held here.
func (s *sourceStatus) age(now time.Time) time.Duration {
	switch {
	case s.reading:
		return 0
	case s.lastCurrent.IsZero():
		return unknownAge
	}
	return now.Sub(s.lastCurrent)
}

// unreachable reports whether neither this node nor its peers reach the source.
func (s *sourceStatus) unreachable(now time.Time) bool {
	if !s.unreachableSince.IsZero() && !s.lastCurrent.After(s.unreachableSince) {
		return true
	}
	return !s.reading && !s.lastCurrent.IsZero() && s.age(now) > maxPeerAge
}

// SourceLost reports whether the node that sent a delta has reached the source
// neither itself nor through its peers for too long.
func (x *Delta) SourceLost() bool { return x.Age > maxPeerAge }

// SourceFailed records that a call of this node to the source failed, and that
// the source has not answered since the given time. It is safe for concurrent
// use.
func (d *Directory) SourceFailed(since time.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.source
	s.lastUnreachable = time.Now()
	if s.reading || s.lastCurrent.IsZero() {
		s.reading, s.lastCurrent = false, since
	}
	if s.unreachableSince.IsZero() {
		s.unreachableSince = since
		d.log.WithError(err).Warn("source_lost")
	}
}

// SourceAnswered records that the source answered this node. After an outage,
// missing entries are kept as unconfirmed for Config.OutageGrace: the reports
// of live instances may have been lost, and dropping them all would refuse
// every request. An instance that really left is missing too, so unconfirmed
// instances are used only if a service has no others. It is safe for concurrent
// use.
func (d *Directory) SourceAnswered() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.source
	if s.reading {
		return
	}
	now := time.Now()
	if !s.lastCurrent.IsZero() && now.Sub(s.lastCurrent) >= minOutage {
		d.graceEnds = now.Add(d.cfg.OutageGrace)
	}
	if !s.unreachableSince.IsZero() {
		d.log.WithField("away_ms", now.Sub(s.unreachableSince).Milliseconds()).Info("source_regained")
	}
	s.reading, s.lastCurrent, s.unreachableSince = true, now, time.Time{}
}

// StopReading records that this node no longer reads the source and relies on
// its peers. It is safe for concurrent use.
func (d *Directory) StopReading() {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := &d.source
	if s.reading {
		s.reading, s.lastCurrent = false, time.Now()
	}
	s.unreachableSince = time.Time{}
}

// recordPeerAge records that the state held here matched the source age ago, as
// reported by a peer. A gap since the previous report means that the peer had
// lost the source too, so entries that are missing now may merely have expired.
func (d *Directory) recordPeerAge(age time.Duration) {
	s, now := &d.source, time.Now()
	if s.reading {
		return
	}
	if age >= sourceLostAge {
		s.lastUnreachable = now
	}
	current := now.Add(-age)
	if !current.After(s.lastCurrent) {
		return
	}
	if !s.lastCurrent.IsZero() && current.Sub(s.lastCurrent) >= minOutage+maxPollGap {
		d.graceEnds = now.Add(d.cfg.OutageGrace)
	}
	s.lastCurrent = current
}

// Age returns an upper bound for the age of the state held here; 0 while this
// node reads the source. It is safe for concurrent use.
func (d *Directory) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.age(time.Now())
}

// ReadsSource reports whether this node reads the source and the source
// answers. It is safe for concurrent use.
func (d *Directory) ReadsSource() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.reading
}

// LastSourceFailure returns when the source was last known not to answer; zero
// for never. It is safe for concurrent use.
func (d *Directory) LastSourceFailure() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.lastUnreachable
}

// SourceUnreachable reports whether neither this node nor its peers reach the
// source. It is safe for concurrent use.
func (d *Directory) SourceUnreachable() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.unreachable(time.Now())
}
