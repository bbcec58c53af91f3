package filter

import (
	"sync"
	"time"
)

// Window is a map whose entries expire a fixed time after insertion. It is
// safe for concurrent use.
type Window[K comparable, V any] struct {
	mu        sync.Mutex
	ttl       time.Duration
	items     map[K]windowItem[V]
	lastSweep time.Time
}

type windowItem[V any] struct {
	v       V
	expires time.Time
}

// NewWindow returns a Window whose entries expire after ttl.
func NewWindow[K comparable, V any](ttl time.Duration) *Window[K, V] {
	return &Window[K, V]{ttl: ttl, items: map[K]windowItem[V]{}, lastSweep: time.Now()}
}

// GetOrPut returns the unexpired value stored for k and false, or stores v
// and returns it and true.
func (w *Window[K, V]) GetOrPut(k K, v V) (V, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.sweep(now)
	if it, ok := w.items[k]; ok && now.Before(it.expires) {
		return it.v, false
	}
	w.items[k] = windowItem[V]{v: v, expires: now.Add(w.ttl)}
	return v, true
}

// Delete removes the entry for k.
func (w *Window[K, V]) Delete(k K) {
	w.mu.Lock()
	delete(w.items, k)
	w.mu.Unlock()
}

// sweep removes expired entries at most once per ttl, so that GetOrPut runs
// in amortized constant time.
func (w *Window[K, V]) sweep(now time.Time) {
	if now.Sub(w.lastSweep) < w.ttl {
		return
	}
	w.lastSweep = now
	for k, it := range w.items {
		if !now.Before(it.expires) {
			delete(w.items, k)
		}
	}
}
