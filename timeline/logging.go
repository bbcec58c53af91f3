package timeline

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
)

const (
	// DefaultLinesPerSecond is the default limit on lines per second and event
	// name. It bounds the output under overload, when every request causes an
	// event.
	DefaultLinesPerSecond = 40
	// queueSize is the number of lines buffered for a slow writer. That is a few
	// seconds of a busy node and less than half a megabyte.
	queueSize = 1024
	// flushTimeout bounds how long Close waits for a slow writer.
	flushTimeout = 200 * time.Millisecond
)

type (
	// AsyncHandler is a log handler that writes JSON lines on a separate
	// goroutine. If the writer is slow, it drops and counts lines instead of
	// blocking. It is safe for concurrent use.
	AsyncHandler struct {
		lines   chan *log.Entry
		out     log.Handler
		dropped atomic.Int64
		stop    chan struct{}
		done    chan struct{}
		once    sync.Once
	}

	// LimitedLogger logs events with a limit on lines per second and event
	// name. It is safe for concurrent use.
	LimitedLogger struct {
		log    log.Interface
		limit  int // lines per second and event name
		mu     sync.Mutex
		counts map[string]*eventCount
	}

	// eventCount counts the lines of one event name in one second.
	eventCount struct {
		second     int64
		written    int
		suppressed int
	}
)

// NewAsyncHandler returns an AsyncHandler that writes to w.
func NewAsyncHandler(w io.Writer) *AsyncHandler {
	h := &AsyncHandler{lines: make(chan *log.Entry, queueSize), out: jsonlog.New(w), stop: make(chan struct{}), done: make(chan struct{})}
	go h.run()
	return h
}

// HandleLog queues e. It never blocks and always returns nil.
func (h *AsyncHandler) HandleLog(e *log.Entry) error {
	select {
	case h.lines <- e:
	default:
		h.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines lost to a full queue or a write error.
func (h *AsyncHandler) Dropped() int64 { return h.dropped.Load() }

// Close writes the queued lines, giving up after flushTimeout. It always
// returns nil and may be called more than once.
func (h *AsyncHandler) Close() error {
	h.once.Do(func() { close(h.stop) })
	select {
	case <-h.done:
	case <-time.After(flushTimeout):
	}
	return nil
}

func (h *AsyncHandler) run() {
	defer close(h.done)
	for {
		select {
		case e := <-h.lines:
			h.writeEntry(e)
		case <-h.stop:
			for len(h.lines) > 0 {
				h.writeEntry(<-h.lines)
			}
			return
		}
	}
}

func (h *AsyncHandler) writeEntry(e *log.Entry) {
	if h.out.HandleLog(e) != nil {
		h.dropped.Add(1)
	}
}

// NewLimitedLogger returns a LimitedLogger that writes to l, at most limit
// lines per second and event name.
func NewLimitedLogger(l log.Interface, limit int) *LimitedLogger {
	return &LimitedLogger{log: l, limit: limit, counts: map[string]*eventCount{}}
}

// Log logs an event unless its limit for the current second is reached;
// fields is called only for events that are logged. The first line of a later
// second has the number of suppressed lines in the field left_out.
func (l *LimitedLogger) Log(name string, fields func() log.Fields) {
	suppressed, ok := l.allow(name, time.Now().Unix())
	if !ok {
		return
	}
	f := fields()
	if suppressed > 0 {
		f["left_out"] = suppressed
	}
	l.log.WithFields(f).Info(name)
}

// allow reports whether a line may be written and, on the first line of a
// second, how many were suppressed before.
func (l *LimitedLogger) allow(name string, second int64) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts[name]
	if c == nil {
		c = &eventCount{}
		l.counts[name] = c
	}
	if c.second != second {
		suppressed = c.suppressed
		*c = eventCount{second: second}
	}
	if c.written >= l.limit {
		c.suppressed++
		return 0, false
	}
	c.written++
	return suppressed, true
}
