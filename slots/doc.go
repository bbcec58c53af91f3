// Package slots limits the number of requests that a target processes
// concurrently. Excess requests are queued by rank, or refused if they would
// miss their deadline. It needs no network.
package slots
