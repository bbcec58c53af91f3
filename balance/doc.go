// Package balance chooses the instance that gets a request, from what its
// answers told: how busy it is, how fast, how often it fails. It needs no
// network.
package balance
