package stage

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Record is the file in which a case writes what it saw. It is safe for
// concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, eris.Wrap(err, "create record")
	}
	return &Record{file: f, began: time.Now()}, nil
}

// Write adds a line with the seconds since the start.
func (r *Record) Write(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say is Write that also prints the line.
func (r *Record) Say(format string, args ...any) {
	r.Write(format, args...)
	fmt.Printf(format+"\n", args...)
}
