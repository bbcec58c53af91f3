package call

// InstanceState is what an instance states about itself in its answers.
type InstanceState struct {
	RateLimit float64 // requests per second that it takes from all callers together; 0 for no limit
	Leaving   bool    // it takes no more new requests and will exit
}
