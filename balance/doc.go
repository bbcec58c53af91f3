// Package balance chooses the instance for each request by load, latency and
// failure rate, as observed and as reported with responses. It needs no
// network.
package balance
