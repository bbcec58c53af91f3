package target

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

type (
	// Health is the response body of GET /health.
	Health struct {
		InFlight int64 `json:"in_flight"`
		Draining bool  `json:"draining"`
	}

	// cachedValue holds a value for ttl, to simulate health and load endpoints
	// that report stale data.
	cachedValue[T any] struct {
		ttl time.Duration

		mu        sync.Mutex
		value     T
		refreshed time.Time
	}
)

// get returns the cached value, calling load first if it is older than ttl.
func (c *cachedValue[T]) get(load func() T) T {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := time.Now(); c.refreshed.IsZero() || now.Sub(c.refreshed) >= c.ttl {
		c.value, c.refreshed = load(), now
	}
	return c.value
}

func (t *Target) handleHealth(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(t.health.get(func() Health {
		return Health{InFlight: t.inflight.Load(), Draining: t.draining.Load()}
	}))
}
