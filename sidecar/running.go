package sidecar

import (
	"strings"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/slots"
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
		broken bool          // a call made for it has failed
		scarce time.Duration // slot time its calls took at targets short of room
		work   *slots.Run
	}
)

func newRunning() *running { return &running{byID: map[call.RequestID]run{}} }

func (r *running) add(id call.RequestID, v run) {
	r.mu.Lock()
	r.byID[id] = v
	r.mu.Unlock()
}

// remove forgets a request that ended and returns what was known of it.
func (r *running) remove(id call.RequestID) run {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.byID[id]
	delete(r.byID, id)
	return v
}

// called notes how a call made for a running request ended, and the slot time
// it took at targets that are short of room.
func (r *running) called(callID call.RequestID, failed bool, scarce time.Duration) {
	parent, ok := parentID(callID)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.byID[parent]; ok {
		v.broken = v.broken || failed
		v.scarce += scarce
		r.byID[parent] = v
		v.work.Return()
	}
}

// calling notes that a call is made for a running request, and returns that.
func (r *running) calling(id call.RequestID) (run, bool) {
	parent, ok := parentID(id)
	if !ok {
		return run{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byID[parent]
	if ok {
		v.work.Call()
	}
	return v, ok
}

// parentID returns the id that a call's id extends.
func parentID(id call.RequestID) (call.RequestID, bool) {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return "", false
	}
	return id[:i], true
}
