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
	// LinesPerSecond is the default limit on lines per second and event name.
	// Under overload every request causes an event.
	LinesPerSecond = 40
	// queueSize is the number of lines buffered for a slow reader.
	queueSize = 1024
	// flushTimeout bounds how long Close waits for a slow reader.
	flushTimeout = 200 * time.Millisecond
)

type (
	// Async is a log handler that writes JSON lines on a separate goroutine.
	// If the reader is slow it drops and counts lines instead of blocking.
	// It is safe for concurrent use.
	Async struct {
		lines   chan *log.Entry
		out     log.Handler
		dropped atomic.Int64
		stop    chan struct{}
		done    chan struct{}
		once    sync.Once
	}

	// Decisions logs events with a limit on lines per second and event name.
	// It is safe for concurrent use.
	Decisions struct {
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

// NewAsync returns an Async that writes to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan *log.Entry, queueSize), out: jsonlog.New(w), stop: make(chan struct{}), done: make(chan struct{})}
	go a.run()
	return a
}

// HandleLog queues e. It never blocks and always returns nil.
func (a *Async) HandleLog(e *log.Entry) error {
	select {
	case a.lines <- e:
	default:
		a.dropped.Add(1)
	}
	return nil
}

// Dropped returns the number of lines lost to a full queue or a write error.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the queued lines, giving up after flushTimeout. It always
// returns nil and may be called more than once.
func (a *Async) Close() error {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushTimeout):
	}
	return nil
}

func (a *Async) run() {
	defer close(a.done)
	for {
		select {
		case e := <-a.lines:
			a.writeEntry(e)
		case <-a.stop:
			for len(a.lines) > 0 {
				a.writeEntry(<-a.lines)
			}
			return
		}
	}
}

func (a *Async) writeEntry(e *log.Entry) {
	if a.out.HandleLog(e) != nil {
		a.dropped.Add(1)
	}
}

// NewDecisions returns a Decisions that writes to l, at most limit lines per
// second and event name.
func NewDecisions(l log.Interface, limit int) *Decisions {
	return &Decisions{log: l, limit: limit, counts: map[string]*eventCount{}}
}

// Note logs an event unless its limit for the current second is reached;
// fields is called only for events that are logged. The first line of a later
// second has the number of suppressed lines in the field left_out.
func (d *Decisions) Note(name string, fields func() log.Fields) {
	suppressed, ok := d.allow(name, time.Now().Unix())
	if !ok {
		return
	}
	f := fields()
	if suppressed > 0 {
		f["left_out"] = suppressed
	}
	d.log.WithFields(f).Info(name)
}

// allow reports whether a line may be written and, on the first line of a
// second, how many were suppressed before.
func (d *Decisions) allow(name string, second int64) (suppressed int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counts[name]
	if c == nil {
		c = &eventCount{}
		d.counts[name] = c
	}
	if c.second != second {
		suppressed = c.suppressed
		*c = eventCount{second: second}
	}
	if c.written >= d.limit {
		c.suppressed++
		return 0, false
	}
	c.written++
	return suppressed, true
}
