package memory

import "sync/atomic"

// Hold is the bytes of one body in an account. Its holder releases it on every way
// out. It is safe for concurrent use, also as nil, which holds nothing.
type Hold struct {
	account *Account
	bytes   atomic.Int64
}

// NewHold returns a Hold of n bytes that were taken from an account.
func NewHold(a *Account, n int64) *Hold {
	if a == nil || n == 0 {
		return nil
	}
	h := &Hold{account: a}
	h.bytes.Store(n)
	return h
}

// Release gives the bytes back. The body must not be used any more.
func (h *Hold) Release() {
	if h != nil {
		h.account.Give(h.bytes.Swap(0))
	}
}

// Join returns a Hold of what h and other hold, both of the same account; they must not
// be used any more.
func (h *Hold) Join(other *Hold) *Hold {
	if h == nil {
		return other
	}
	if other != nil {
		h.bytes.Add(other.bytes.Swap(0))
	}
	return h
}
