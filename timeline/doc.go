// Package timeline gives every process a structured log of its changes of
// state, one JSON line each with its time and process, and merges the
// files of many processes into one time line ordered by time.
package timeline
