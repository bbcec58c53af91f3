package inbound

import (
	"net/http"
	"sync"

	"github.com/oatpin/oatpin/memory"
)

const (
	// largeNum / largeDen is the fraction of the memory that other than ordinary heads
	// may use, so that ordinary ones get in beside a crowd of large ones.
	largeNum = 3
	largeDen = 4
	// idleDivisor is the fraction of the memory up to which others may hold heads while
	// one may be of any size: the largest that is allowed is not to be refused for ever.
	idleDivisor = 16
)

// Heads counts the memory of the heads that connections read or whose requests are in
// progress. A head is counted as it arrives, because one in many short lines takes some
// fifteen times its bytes. Where there is no room, the largest unfinished head is
// evicted for a smaller one: an ordinary head is never the largest beside a crowd that
// fills the memory. The zero value has no limit. It is safe for concurrent use.
type Heads struct {
	mu         sync.Mutex
	limit      int64 // 0 for none
	used       int64
	unfinished map[*conn]struct{}
}

// SetLimit sets the limit in bytes; 0 for none.
func (h *Heads) SetLimit(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limit = bytes
}

// Used returns the number of bytes counted.
func (h *Heads) Used() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.used
}

// take counts n more bytes of the head of c, which is whole then or unfinished. The cause
// is empty if there was room.
func (h *Heads) take(c *conn, n int64, whole bool) Cause {
	why, closed := h.makeRoom(c, n, whole)
	for _, other := range closed {
		other.Conn.Close()
		other.server.refused(Evicted)
	}
	return why
}

func (h *Heads) makeRoom(c *conn, n int64, whole bool) (why Cause, closed []*conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.evicted {
		return Evicted, nil
	}
	for !h.fits(c.cost+n, n) {
		other := h.largest(c.cost + n)
		if other == nil || other == c {
			return NoMemory, closed
		}
		h.remove(other)
		other.evicted = true
		closed = append(closed, other)
	}
	h.used += n
	c.cost += n
	if whole { // its request is about to be served
		delete(h.unfinished, c)
		return "", closed
	}
	if h.unfinished == nil {
		h.unfinished = map[*conn]struct{}{}
	}
	h.unfinished[c] = struct{}{}
	return "", closed
}

// fits reports whether there is room for more bytes of a head, which cost is with them.
func (h *Heads) fits(cost, more int64) bool {
	limit, others := h.limit, h.used-(cost-more)
	switch {
	case limit == 0 || others <= limit/idleDivisor:
		return true
	case cost > memory.OrdinaryHead:
		limit = limit * largeNum / largeDen
	}
	return h.used+more <= limit
}

// largest returns the largest unfinished head above a cost, or nil.
func (h *Heads) largest(above int64) *conn {
	var found *conn
	for c := range h.unfinished {
		if c.cost > above {
			found, above = c, c.cost
		}
	}
	return found
}

// finish counts the whole head of c by what was parsed. It may be more than was counted
// as it arrived, where a client sends requests without waiting for answers.
func (h *Heads) finish(c *conn, cost int64) Cause {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.evicted {
		return Evicted
	}
	delete(h.unfinished, c)
	if more := cost - c.cost; more > 0 && !h.fits(cost, more) {
		return NoMemory
	}
	h.used += cost - c.cost
	c.cost = cost
	return ""
}

// release gives back what c has counted.
func (h *Heads) release(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(c)
}

func (h *Heads) remove(c *conn) {
	h.used -= c.cost
	c.cost = 0
	delete(h.unfinished, c)
}

// headCost returns the cost in bytes of the head of a request.
func headCost(r *http.Request) int64 {
	text, lines := len(r.RequestURI), 1
	for name, values := range r.Header {
		for _, v := range values {
			text += len(name) + len(v)
			lines++
		}
	}
	return memory.HeadCost(text, lines)
}
