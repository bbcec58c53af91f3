package inbound

import "time"

const (
	// requestLineBytes may come beside a head's fields.
	requestLineBytes = 4 << 10
	// readBytes is how much net/http reads at once: what comes after a head is counted
	// with it.
	readBytes = 4 << 10
	// lateness is how much later than a client sent it a packet may arrive: one that is
	// lost is sent again.
	lateness = time.Second
)

// Limits bound what a client may send and how long it may take. What is 0 is that of
// DefaultLimits.
type Limits struct {
	HeadBytes   int           // the fields of a head
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // between two requests
}

// DefaultLimits exceed what deployments allow their clients.
var DefaultLimits = Limits{HeadBytes: 64 << 10, HeadTimeout: 30 * time.Second, IdleTimeout: time.Minute}

// maxHead returns how many bytes may be read for a head.
func (l Limits) maxHead() int {
	if l.HeadBytes <= 0 {
		l.HeadBytes = DefaultLimits.HeadBytes
	}
	return l.HeadBytes + requestLineBytes + readBytes
}

func (l Limits) headDeadline(now time.Time) time.Time {
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = DefaultLimits.HeadTimeout
	}
	return now.Add(l.HeadTimeout + lateness)
}

func (l Limits) idleDeadline(now time.Time) time.Time {
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = DefaultLimits.IdleTimeout
	}
	return now.Add(l.IdleTimeout + lateness)
}
