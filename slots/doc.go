// Package slots decides which requests a target works on: at most its slots
// at once, the others waiting in the order of their rank or refused when
// they cannot be done in time. It needs no network.
package slots
