package timeline

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	. "github.com/smartystreets/goconvey/convey"
)

// stuck is a reader that stands still until it is let go.
type stuck struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

// Whoever reads a node's output stands still. Lines pile up, requests must
// not: a full queue drops lines and counts them.
func TestAStuckReaderCostsLinesOnly(t *testing.T) {
	Convey("Logging goes on at once, drops are counted, the rest is written", t, func() {
		w := &stuck{}
		w.mu.Lock()
		a := NewAsync(w)
		l := (&log.Logger{Handler: a, Level: log.InfoLevel})
		began := time.Now()
		for range 3 * queueLines {
			l.Info("line")
		}
		So(time.Since(began), ShouldBeLessThan, time.Second)
		So(a.Dropped(), ShouldBeBetweenOrEqual, 2*queueLines-1, 2*queueLines)
		w.mu.Unlock()
		So(a.Close(), ShouldBeNil)
		So(strings.Count(w.buf.String(), "\n"), ShouldEqual, 3*queueLines-int(a.Dropped()))
	})
}

// The reader stands still and the process is told to stop: it may not wait
// for its log.
func TestAStuckReaderDoesNotHoldUpAStop(t *testing.T) {
	Convey("Close gives up after a moment, with a full queue too", t, func() {
		r, w := io.Pipe()
		defer r.Close()
		a := NewAsync(w)
		l := (&log.Logger{Handler: a, Level: log.InfoLevel})
		for range 2 * queueLines {
			l.Info("line")
		}
		began := time.Now()
		a.Close()
		So(time.Since(began), ShouldBeLessThan, 5*flushWait)
	})
}

// Under overload every request is a decision. The lines of one kind are
// bounded, another kind keeps its own room, and what was left out is told.
func TestLinesOfOneKindAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("So many a second of each kind, the rest is counted", t, func() {
			lines := memory.New()
			d := NewDecisions(&log.Logger{Handler: lines, Level: log.InfoLevel}, LinesPerSecond)
			built := 0
			note := func(kind string) {
				d.Note(kind, func() log.Fields { built++; return log.Fields{"id": "x"} })
			}
			for range 1000 {
				note("refused")
			}
			note("ended")
			So(len(lines.Entries), ShouldEqual, LinesPerSecond+1)
			So(built, ShouldEqual, LinesPerSecond+1)
			time.Sleep(time.Second)
			note("refused")
			last := lines.Entries[len(lines.Entries)-1]
			So(last.Message, ShouldEqual, "refused")
			So(last.Fields["left_out"], ShouldEqual, 1000-LinesPerSecond)
		})
	})
}

// BenchmarkNote measures a decision that is written and one that is over the
// bound.
func BenchmarkNote(b *testing.B) {
	a := NewAsync(io.Discard)
	d := NewDecisions(&log.Logger{Handler: a, Level: log.InfoLevel}, LinesPerSecond)
	b.ReportAllocs()
	for b.Loop() {
		d.Note("kind", func() log.Fields { return log.Fields{"id": "x", "why": "y"} })
	}
}
