package callgraph

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrInvalid is wrapped by every error about a configuration that fails validation.
	ErrInvalid = eris.New("invalid configuration text")
	// ErrStale is returned for a configuration whose version is not newer than the current one.
	ErrStale = eris.New("configuration version not newer than the one in force")
)

type (
	// Problem is one reason why a configuration is invalid. Line is 1-based; 0
	// means that the problem concerns no single line.
	Problem struct {
		Line   int
		Reason string
	}

	// ValidationError lists all problems found in one configuration; it matches
	// ErrInvalid.
	ValidationError struct {
		Problems []Problem
	}
)

// Error returns all problems, one per line, as "line N: reason".
func (e *ValidationError) Error() string {
	var b strings.Builder
	b.WriteString(ErrInvalid.Error())
	for _, p := range e.Problems {
		if p.Line == 0 {
			fmt.Fprintf(&b, "\n  whole text: %s", p.Reason)
			continue
		}
		fmt.Fprintf(&b, "\n  line %d: %s", p.Line, p.Reason)
	}
	return b.String()
}

// Unwrap returns ErrInvalid for errors.Is.
func (*ValidationError) Unwrap() error { return ErrInvalid }
