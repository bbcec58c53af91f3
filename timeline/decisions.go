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
	// LinesPerSecond is the usual bound on the lines of one kind: under
	// overload every request is a decision, and forty lines a second of each
	// kind show the pattern at a few percent of a small VM's processor.
	LinesPerSecond = 40
	// queueLines is how many lines may wait for a slow reader: some seconds
	// of a busy node, under half a megabyte.
	queueLines = 1024
	// flushWait bounds how long a stopping process waits for its reader.
	flushWait = 200 * time.Millisecond
)

type (
	// Async is a log handler that writes JSON lines on a goroutine of its
	// own. A reader that stands still costs lines, which are counted, and
	// never holds up the process.
	Async struct {
		lines   chan *log.Entry
		out     log.Handler
		dropped atomic.Int64
		stop    chan struct{}
		done    chan struct{}
		once    sync.Once
	}

	// Decisions writes one line for each decision about a request or a
	// belief, at most so many of a kind in a second.
	Decisions struct {
		log   log.Interface
		most  int // lines of a kind in a second
		mu    sync.Mutex
		kinds map[string]*kind
	}

	kind struct {
		second  int64
		written int
		left    int // out, in this second
	}
)

// NewAsync returns an Async that writes to w.
func NewAsync(w io.Writer) *Async {
	a := &Async{lines: make(chan *log.Entry, queueLines), out: jsonlog.New(w), stop: make(chan struct{}), done: make(chan struct{})}
	go a.write()
	return a
}

// HandleLog implements log.Handler; it never blocks.
func (a *Async) HandleLog(e *log.Entry) error {
	select {
	case a.lines <- e:
	default:
		a.dropped.Add(1)
	}
	return nil
}

// Dropped returns how many lines were lost to a slow reader.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits, for a short time at most.
func (a *Async) Close() error {
	a.once.Do(func() { close(a.stop) })
	select {
	case <-a.done:
	case <-time.After(flushWait):
	}
	return nil
}

func (a *Async) write() {
	defer close(a.done)
	for {
		select {
		case e := <-a.lines:
			a.put(e)
		case <-a.stop:
			for len(a.lines) > 0 {
				a.put(<-a.lines)
			}
			return
		}
	}
}

func (a *Async) put(e *log.Entry) {
	// A line that cannot be written has nowhere else to go.
	if a.out.HandleLog(e) != nil {
		a.dropped.Add(1)
	}
}

// NewDecisions returns a Decisions that writes to l, at most so many lines of
// a kind in a second.
func NewDecisions(l log.Interface, most int) *Decisions {
	return &Decisions{log: l, most: most, kinds: map[string]*kind{}}
}

// Note writes a line of a kind unless its bound for this second is reached;
// fields is called only then. The first line of a later second tells how
// many were left out.
func (d *Decisions) Note(name string, fields func() log.Fields) {
	left, ok := d.allow(name, time.Now().Unix())
	if !ok {
		return
	}
	f := fields()
	if left > 0 {
		f["left_out"] = left
	}
	d.log.WithFields(f).Info(name)
}

func (d *Decisions) allow(name string, second int64) (left int, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kinds[name]
	if k == nil {
		k = &kind{}
		d.kinds[name] = k
	}
	if k.second != second {
		left = k.left
		*k = kind{second: second}
	}
	if k.written >= d.most {
		k.left++
		return 0, false
	}
	k.written++
	return left, true
}
