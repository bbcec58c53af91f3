// Package quarantine knows the requests under which instances ended. Callers
// send such a request again, at any node and with a new id, and each instance
// that begins to run it ends too; it is told by what it asks for.
package quarantine
