// Package stage starts a small deployment for the cases of the review: real node
// processes with the settings of the deploy file, and stand-ins for the
// platform's store, the instances and the clients, all on loopback addresses.
// What was sent, run and answered is written to a record file.
package stage
