package directory

import "time"

// maxListingDelay is how much earlier than a sighting a run may have started that
// was listed only after it: a start further back was read from a wrong clock.
const maxListingDelay = time.Hour

// Sighting identifies the run of an instance that gave an answer, which may not
// be listed yet: the run that was up at a time. That time and the starts of runs
// are read from the clock of the instance's VM, so that all nodes can compare
// them.
//
// The time is when the connection of the answer was opened. The last answers of a
// run may arrive when the next one is up already, but not on a connection that
// was opened to the next one.
type Sighting struct {
	ID InstanceID
	At UnixMilli // 0 if not known
}

// NotBefore reports whether the run that answered is the given one or a later
// one.
func (s Sighting) NotBefore(run Incarnation) bool { return s.ID == run.ID && s.At >= run.At }

// IsOfUnlisted reports whether a run that was not listed at the sighting is the
// one that answered, or was followed by it.
func (s Sighting) IsOfUnlisted(run Incarnation) bool {
	return s.NotBefore(run) && time.Duration(s.At-run.At)*time.Millisecond <= maxListingDelay
}
