// Package modeltest checks a model and what it describes against each other, with
// random steps and a clock that the test pauses and advances.
package modeltest
