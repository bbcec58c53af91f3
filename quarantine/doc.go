// Package quarantine keeps requests that end instances from the rest of them.
// Callers send such a request again, at any node and with a new id, and each
// instance that begins to run it ends. A Book counts, by what a request asks
// for, the instances that ended under it; nodes tell each other what theirs
// say.
package quarantine
