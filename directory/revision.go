package directory

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// counterBits is the width of the counter in a Revision. At 10,000 changes per
// second it lasts for 50 years.
const counterBits = 44

// ErrRevisionRange is returned by NewRevision for an era or counter that does
// not fit into a Revision.
var ErrRevisionRange = eris.New("era or counter of the revision is too large")

type (
	// Era is the number of a history of a source. It rises when the source
	// comes back from a backup; 0 if the source does not report it.
	Era uint32

	// Revision is the position of a change in the histories of a source: its
	// era and, in the lower counterBits, the counter that the source assigned.
	// A restored source assigns counters again. With the era in the upper bits,
	// all revisions after a restore are higher than those before it, also for
	// code that compares them as plain integers.
	Revision uint64
)

// NewRevision returns the revision of a counter in an era. The error wraps
// ErrRevisionRange.
func NewRevision(era Era, counter uint64) (Revision, error) {
	r := Revision(era)<<counterBits | Revision(counter)
	if r.Era() != era || r.Counter() != counter {
		return 0, eris.Wrapf(ErrRevisionRange, "era %d, counter %d", era, counter)
	}
	return r, nil
}

// Era returns the era of r.
func (r Revision) Era() Era { return Era(r >> counterBits) }

// Counter returns the number that the source assigned to r.
func (r Revision) Counter() uint64 { return uint64(r) & (1<<counterBits - 1) }

// String returns the era and the counter, separated by a slash.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era(), r.Counter()) }

// MarshalJSON encodes r as its String, for logs.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.String()) }
