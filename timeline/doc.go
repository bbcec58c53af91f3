// Package timeline writes structured event logs of state changes, as JSON lines
// with a timestamp and process name, and merges the logs of several processes
// into one timeline.
package timeline
