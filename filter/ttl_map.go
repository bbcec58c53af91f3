package filter

import (
	"sync"
	"time"
)

// TTLMap is a map whose entries expire a fixed time after insertion. It is safe
// for concurrent use.
type TTLMap[K comparable, V any] struct {
	mu        sync.Mutex
	ttl       time.Duration
	items     map[K]ttlMapEntry[V]
	lastSweep time.Time
}

type ttlMapEntry[V any] struct {
	v       V
	expires time.Time
}

// NewTTLMap returns a TTLMap whose entries expire after ttl.
func NewTTLMap[K comparable, V any](ttl time.Duration) *TTLMap[K, V] {
	return &TTLMap[K, V]{ttl: ttl, items: map[K]ttlMapEntry[V]{}, lastSweep: time.Now()}
}

// GetOrPut returns the unexpired value stored for k and false, or stores v
// and returns it and true.
func (m *TTLMap[K, V]) GetOrPut(k K, v V) (V, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.sweep(now)
	if it, ok := m.items[k]; ok && now.Before(it.expires) {
		return it.v, false
	}
	m.items[k] = ttlMapEntry[V]{v: v, expires: now.Add(m.ttl)}
	return v, true
}

// Delete removes the entry for k.
func (m *TTLMap[K, V]) Delete(k K) {
	m.mu.Lock()
	delete(m.items, k)
	m.mu.Unlock()
}

// sweep removes expired entries at most once per ttl, so that GetOrPut runs
// in amortized constant time.
func (m *TTLMap[K, V]) sweep(now time.Time) {
	if now.Sub(m.lastSweep) < m.ttl {
		return
	}
	m.lastSweep = now
	for k, it := range m.items {
		if !now.Before(it.expires) {
			delete(m.items, k)
		}
	}
}
