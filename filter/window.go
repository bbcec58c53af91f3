package filter

import (
	"sync"
	"time"
)

// Window remembers values by key for a fixed time after they were put.
type Window[K comparable, V any] struct {
	mu    sync.Mutex
	ttl   time.Duration
	items map[K]windowItem[V]
	swept time.Time
}

type windowItem[V any] struct {
	v       V
	expires time.Time
}

// NewWindow returns a Window that keeps each value for ttl.
func NewWindow[K comparable, V any](ttl time.Duration) *Window[K, V] {
	return &Window[K, V]{ttl: ttl, items: map[K]windowItem[V]{}, swept: time.Now()}
}

// GetOrPut returns the value under k, or puts v there and returns it with
// put true.
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

// Delete forgets k.
func (w *Window[K, V]) Delete(k K) {
	w.mu.Lock()
	delete(w.items, k)
	w.mu.Unlock()
}

// sweep drops expired items at most once a ttl, keeping GetOrPut O(1) on
// average.
func (w *Window[K, V]) sweep(now time.Time) {
	if now.Sub(w.swept) < w.ttl {
		return
	}
	w.swept = now
	for k, it := range w.items {
		if !now.Before(it.expires) {
			delete(w.items, k)
		}
	}
}
