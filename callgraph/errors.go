package callgraph

import (
	"fmt"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrInvalid is wrapped by every error about a text that cannot be accepted.
	ErrInvalid = eris.New("invalid configuration text")
	// ErrStale is returned for a text whose version is not newer than the one in force.
	ErrStale = eris.New("configuration version not newer than the one in force")
)

type (
	// Problem is one thing wrong with a text, at a line (1-based, 0 if the
	// text as a whole is wrong).
	Problem struct {
		Line   int
		Reason string
	}

	// TextError lists every problem found in one text; it matches ErrInvalid.
	TextError struct {
		Problems []Problem
	}
)

// Error returns every problem, one a line, as line N: reason.
func (e *TextError) Error() string {
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

// Unwrap lets errors.Is find ErrInvalid.
func (*TextError) Unwrap() error { return ErrInvalid }
