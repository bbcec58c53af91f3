package sidecar

import (
	"strings"
	"sync"
	"time"

	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/slots"
)

type (
	// runningRequests holds the requests in progress at the local target, to
	// recognize the child requests that it sends for them. The id of a child
	// request is its parent's id followed by a dot and a suffix. Requests
	// with other ids are handled as new ones. Safe for concurrent use.
	runningRequests struct {
		mu   sync.Mutex
		byID map[call.RequestID]runningRequest
	}

	// runningRequest is one request in progress at the local target.
	runningRequest struct {
		route            string
		deadline         time.Time
		level            call.Level
		retry            bool
		childFailed      bool          // some child request has failed
		overloadSlotTime time.Duration // slot time used by child requests at overloaded targets
		progress         *slots.TrackedRequest
	}
)

func newRunningRequests() *runningRequests {
	return &runningRequests{byID: map[call.RequestID]runningRequest{}}
}

func (r *runningRequests) add(id call.RequestID, v runningRequest) {
	r.mu.Lock()
	r.byID[id] = v
	r.mu.Unlock()
}

// remove deletes a finished request and returns its record.
func (r *runningRequests) remove(id call.RequestID) runningRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.byID[id]
	delete(r.byID, id)
	return v
}

// childEnded records the result of a child request and the slot time that it
// used at overloaded targets.
func (r *runningRequests) childEnded(childID call.RequestID, failed bool, overloadSlotTime time.Duration) {
	parent, ok := parentID(childID)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.byID[parent]; ok {
		v.childFailed = v.childFailed || failed
		v.overloadSlotTime += overloadSlotTime
		r.byID[parent] = v
		v.progress.EndCall()
	}
}

// childStarted records the start of a child request and returns its parent.
func (r *runningRequests) childStarted(id call.RequestID) (runningRequest, bool) {
	parent, ok := parentID(id)
	if !ok {
		return runningRequest{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byID[parent]
	if ok {
		v.progress.BeginCall()
	}
	return v, ok
}

// parentID returns the id of the parent request.
func parentID(id call.RequestID) (call.RequestID, bool) {
	i := strings.LastIndexByte(string(id), '.')
	if i < 0 {
		return "", false
	}
	return id[:i], true
}
