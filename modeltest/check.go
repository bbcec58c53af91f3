package modeltest

import (
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"
)

// noDeadlineTB hides T.Deadline, which must not be called in a synctest bubble,
// from rapid.
type noDeadlineTB struct{ rapid.TB }

// Check runs a property of rapid in a synctest bubble. It fails t with the steps
// for which the property fails.
func Check(t *testing.T, property func(*rapid.T)) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(noDeadlineTB{t}, property)
	})
}
