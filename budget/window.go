package budget

import (
	"sync"
	"time"
)

// windowParts is how many parts a Window's time is kept in: the sums are
// exact to a tenth of the window.
const windowParts = 10

type (
	// WindowConfig is what a Window is built from.
	WindowConfig struct {
		Span  time.Duration // sliding time over which repeats are bounded
		Ratio float64       // repeats allowed for each first try
		Slack float64       // repeats allowed besides
	}

	// Window bounds the repeats that one node sends to one service over a
	// sliding time, from what it has itself sent there: a bound that holds
	// over all nodes when each holds its part, whether or not they reach
	// each other.
	Window struct {
		cfg WindowConfig

		mu    sync.Mutex
		parts [windowParts]part
	}

	part struct {
		n       int64 // which part of time this is
		firsts  float64
		repeats float64
	}
)

// NewWindow returns an empty Window.
func NewWindow(cfg WindowConfig) *Window { return &Window{cfg: cfg} }

// First counts a first try.
func (w *Window) First() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now().firsts++
}

// Inherit counts a request that a repeated request makes: it is a repeat too,
// but refusing it would waste what has run. It takes room from repeats of
// this service's own.
func (w *Window) Inherit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.now().repeats++
}

// Repeat counts one repeat if it is allowed and reports whether it is.
func (w *Window) Repeat() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if !w.room(now) {
		return false
	}
	now.repeats++
	return true
}

// Room reports whether a repeat would be allowed now.
func (w *Window) Room() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.room(w.now())
}

func (w *Window) room(now *part) bool {
	var firsts, repeats float64
	for _, p := range w.parts {
		if now.n-p.n < windowParts {
			firsts += p.firsts
			repeats += p.repeats
		}
	}
	return repeats+1 <= w.cfg.Ratio*firsts+w.cfg.Slack
}

// now returns the part for this moment, emptied if it held an earlier one.
func (w *Window) now() *part {
	n := time.Now().UnixNano() / int64(w.cfg.Span/windowParts)
	p := &w.parts[n%windowParts]
	if p.n != n {
		*p = part{n: n}
	}
	return p
}
