package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oatpin/oatpin/call"
	"github.com/oatpin/oatpin/quarantine"
)

// endWait bounds the look whether the target is still there; on the same VM
// an answer takes microseconds, also the answer that nothing listens.
const endWait = 100 * time.Millisecond

// ends knows when the local target last ended. An instance that ends breaks
// all its connections in the same moment, so the first request that fails
// looks for all of them.
type ends struct {
	mu     sync.Mutex
	looked time.Time
	ended  time.Time // when it was last found gone
	id     uint64    // of that end
}

// since returns the id of the target's end after a request began, which failed
// just now, or 0 if it did not end; first is true for the request that finds
// out.
func (e *ends) since(began, failed time.Time, gone func() bool) (id uint64, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended.After(began) {
		return e.id, false
	}
	if e.looked.After(failed) {
		return 0, false // another request looked, and it is there
	}
	e.looked = time.Now()
	if !gone() {
		return 0, false
	}
	e.ended, e.id = time.Now(), max(rand.Uint64(), 1)
	return e.id, true
}

// endedUnder returns the end of the target while it ran a request whose
// connection just broke; nil if the connection alone did.
func (n *Node) endedUnder(ctx context.Context, r *call.Request, began time.Time) *call.End {
	if ctx.Err() != nil {
		return nil
	}
	id, first := n.ends.since(began, time.Now(), func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), endWait)
		defer cancel()
		return n.target.Ended(ctx)
	})
	if id == 0 {
		return nil
	}
	if first {
		n.stats.targetEnded()
		n.log.WithFields(log.Fields{"instance": r.To, "running": n.gate.Load().Busy}).Warn("target_ended")
	}
	n.note.Note("ended_under_request", func() log.Fields {
		names := make([]string, 0, len(r.HTTP.Header))
		for _, f := range r.HTTP.Header {
			names = append(names, f.Name)
		}
		return log.Fields{"id": r.ID, "fingerprint": quarantine.FingerprintOf(r).String(), "caller": r.HTTP.Caller, "instance": r.To,
			"headers": names, "age_ms": time.Since(began).Milliseconds()}
	})
	return &call.End{ID: id}
}
