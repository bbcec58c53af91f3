package call

// UnixMilli is a time in milliseconds since the Unix epoch.
type UnixMilli int64

// InstanceState is what an instance states about itself in its answers.
type InstanceState struct {
	RateLimit float64 // requests per second that it takes from all callers together; 0 for no limit
	// Leaving means that it takes no more new requests and will exit. It is set
	// only by an answer of the instance itself, not by its node: the node may not
	// know yet that the instance has restarted since.
	Leaving bool
	// UpAt is a time at which the run that states this was up, by the clock of
	// its VM; 0 if not known.
	UpAt UnixMilli
}
