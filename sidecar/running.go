package sidecar

import (
	"strings"
	"sync"

	"github.com/oatpin/oatpin/call"
)

type (
	// running knows the requests that the local target works on, to tell
	// whose calls it makes: a target sends its calls with ids that extend
	// the id of the request they are made for, by a dot and a part of their
	// own. One whose ids do not is served all the same, as a new request.
	running struct {
		mu   sync.Mutex
		byID map[call.RequestID]run
	}

	// run is one request at the local target.
	run struct {
		route  string
		level  call.Level
		repeat bool
	}
)

func newRunning() *running { return &running{byID: map[call.RequestID]run{}} }

func (r *running) add(id call.RequestID, v run) {
	r.mu.Lock()
	r.byID[id] = v
	r.mu.Unlock()
}

func (r *running) remove(id call.RequestID) {
	r.mu.Lock()
	delete(r.byID, id)
	r.mu.Unlock()
}

// parent returns the running request that a call is made for.
func (r *running) parent(id call.RequestID) (run, bool) {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return run{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byID[id[:i]]
	return v, ok
}
