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

// blockedWriter blocks writes while its mutex is held.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

// A blocked writer must not block logging: lines beyond the queue are dropped
// and counted.
func TestAsyncDropsLinesWhenWriterBlocks(t *testing.T) {
	Convey("Logging does not block, drops are counted and queued lines are written", t, func() {
		w := &blockedWriter{}
		w.mu.Lock()
		h := NewAsyncHandler(w)
		l := (&log.Logger{Handler: h, Level: log.InfoLevel})
		start := time.Now()
		for range 3 * queueSize {
			l.Info("line")
		}
		So(time.Since(start), ShouldBeLessThan, time.Second)
		So(h.Dropped(), ShouldBeBetweenOrEqual, 2*queueSize-1, 2*queueSize)
		w.mu.Unlock()
		So(h.Close(), ShouldBeNil)
		So(strings.Count(w.buf.String(), "\n"), ShouldEqual, 3*queueSize-int(h.Dropped()))
	})
}

// A blocked writer must not block the shutdown of the process.
func TestAsyncCloseTimesOut(t *testing.T) {
	Convey("Close gives up after flushTimeout, also with a full queue", t, func() {
		r, w := io.Pipe()
		defer r.Close()
		h := NewAsyncHandler(w)
		l := (&log.Logger{Handler: h, Level: log.InfoLevel})
		for range 2 * queueSize {
			l.Info("line")
		}
		start := time.Now()
		h.Close()
		So(time.Since(start), ShouldBeLessThan, 5*flushTimeout)
	})
}

// Each event name has its own limit, so that frequent events do not suppress
// others, and suppressed lines are counted.
func TestLineLimitPerEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Lines over the limit are suppressed and counted per event name", t, func() {
			lines := memory.New()
			limited := NewLimitedLogger(&log.Logger{Handler: lines, Level: log.InfoLevel}, DefaultLinesPerSecond)
			built := 0
			logEvent := func(name string) {
				limited.Log(name, func() log.Fields { built++; return log.Fields{"id": "x"} })
			}
			for range 1000 {
				logEvent("refused")
			}
			logEvent("ended")
			So(len(lines.Entries), ShouldEqual, DefaultLinesPerSecond+1)
			So(built, ShouldEqual, DefaultLinesPerSecond+1)
			time.Sleep(time.Second)
			logEvent("refused")
			last := lines.Entries[len(lines.Entries)-1]
			So(last.Message, ShouldEqual, "refused")
			So(last.Fields["left_out"], ShouldEqual, 1000-DefaultLinesPerSecond)
		})
	})
}

// BenchmarkLimitedLogger measures logging with nearly all events over the
// limit.
func BenchmarkLimitedLogger(b *testing.B) {
	h := NewAsyncHandler(io.Discard)
	limited := NewLimitedLogger(&log.Logger{Handler: h, Level: log.InfoLevel}, DefaultLinesPerSecond)
	b.ReportAllocs()
	for b.Loop() {
		limited.Log("kind", func() log.Fields { return log.Fields{"id": "x", "why": "y"} })
	}
}
